package executor

// WorkFinished reports, after Leaving, that no task is queued or running.
type WorkFinished struct{}

func (WorkFinished) action() {}
