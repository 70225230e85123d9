package executor

// Ended says, after Leaving, that nothing is queued or running.
type Ended struct{}

func (Ended) action() {}
