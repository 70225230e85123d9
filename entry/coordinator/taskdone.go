package coordinator

import (
	"time"

	"oleandertally/core/specifier"
)

// TaskDone is an agent's message that a task ended.
type TaskDone struct {
	Agent   specifier.Identity
	Key     specifier.TaskKey
	Epoch   specifier.Epoch
	Broken  bool
	Body    []byte
	Detail  string
	RunTime time.Duration
}

func (TaskDone) event() {}
