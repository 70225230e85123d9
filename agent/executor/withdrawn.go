package executor

import "oleandertally/core/specifier"

// Withdrawn asks the agent to drop the queued tasks of a job.
type Withdrawn struct {
	Entry  specifier.Identity
	Stream uint64
	Job    specifier.JobID
	Epoch  specifier.Epoch
}

func (Withdrawn) event() {}
