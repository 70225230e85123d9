package coordinator

import "oleandertally/core/specifier"

// TaskRefused is an agent's message that a task did not start there and will not.
type TaskRefused struct {
	Agent specifier.Identity
	Key   specifier.TaskKey
	Epoch specifier.Epoch
	Cause string
}

func (TaskRefused) event() {}
