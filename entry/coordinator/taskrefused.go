package coordinator

import "oleandertally/core/specifier"

// TaskRefused is an agent's message that it did not start a task and will not.
type TaskRefused struct {
	Agent specifier.Identity
	Key   specifier.TaskKey
	Epoch specifier.Epoch
	Cause string
}

func (TaskRefused) event() {}
