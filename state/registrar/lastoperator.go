package registrar

// LastOperator returns the operator who made the latest change to the configuration.
func (r *Registrar) LastOperator() string { return r.lastOperator }
