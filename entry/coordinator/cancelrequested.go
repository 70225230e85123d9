package coordinator

import "oleandertally/core/specifier"

// CancelRequested is a caller's request to cancel a job.
type CancelRequested struct {
	Waiter Waiter
	Job    specifier.JobID
}

func (CancelRequested) event() {}
