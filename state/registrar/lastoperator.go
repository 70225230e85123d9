package registrar

// Changed returns the operator who made the newest change of the configuration.
func (r *Registrar) LastOperator() string { return r.changed }
