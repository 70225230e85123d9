package coordinator

// Draining makes the entry refuse new jobs; those in flight go on.
type Draining struct{}

func (Draining) event() {}
