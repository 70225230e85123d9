package executor

import (
	"time"

	"oleandertally/core/specifier"
)

// Assigned asks the agent to run a task.
type Assigned struct {
	Entry    specifier.Identity
	Stream   uint64
	Key      specifier.TaskKey
	Epoch    specifier.Epoch
	Payload  []byte
	Order    time.Time // queue order key of the task, on this agent's clock
	Deadline time.Time
	Profile  string
}

func (Assigned) event() {}
