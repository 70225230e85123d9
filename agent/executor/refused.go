package executor

import "oleandertally/core/specifier"

// Refused tells an entry that a task has not started on this agent and will not start here under this epoch.
type Refused struct {
	Entry specifier.Identity
	Key   specifier.TaskKey
	Epoch specifier.Epoch
	Cause Cause
	Load  specifier.Load
}

func (Refused) action() {}
