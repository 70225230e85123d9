package coordinator

import "oleandertally/core/specifier"

// Abandoned reports that a waiter's connection closed. The job continues.
type Abandoned struct {
	Waiter Waiter
	Job    specifier.JobID
}

func (Abandoned) event() {}
