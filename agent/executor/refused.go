package executor

import "oleandertally/core/specifier"

// Refused tells an entry that a task did not start here and will not under this epoch.
type Refused struct {
	Entry specifier.Identity
	Key   specifier.TaskKey
	Epoch specifier.Epoch
	Cause Cause
	Load  specifier.Load
}

func (Refused) action() {}
