package coordinator

import "oleandertally/core/specifier"

// Withdraw tells an agent to drop what it has not started of a job.
type Withdraw struct {
	Agent specifier.Identity
	Job   specifier.JobID
	Epoch specifier.Epoch
}

func (Withdraw) action() {}
