package executor

import "oleandertally/core/specifier"

// Withdrawn asks the agent to drop the tasks of a job that have not started.
type Withdrawn struct {
	Entry specifier.Identity
	Stream  uint64
	Job   specifier.JobID
	Epoch specifier.Epoch
}

func (Withdrawn) event() {}
