package executor

// WorkFinished says, after Leaving, that nothing is queued or running.
type WorkFinished struct{}

func (WorkFinished) action() {}
