package coordinator

// Drained reports, after a DrainRequested, that every job is answered and recorded.
type Drained struct{}

func (Drained) action() {}
