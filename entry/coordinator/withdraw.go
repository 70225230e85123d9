package coordinator

import "oleandertally/core/specifier"

// Withdraw tells an agent to drop the tasks of a job that it has not started.
type Withdraw struct {
	Agent specifier.Identity
	Job   specifier.JobID
	Epoch specifier.Epoch
}

func (Withdraw) action() {}
