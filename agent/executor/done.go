package executor

import (
	"time"

	"oleandertally/core/specifier"
)

// Done tells the job's owner that a task ended.
type Done struct {
	Entry   specifier.Identity
	Key     specifier.TaskKey
	Epoch   specifier.Epoch
	Broken  bool
	Body    []byte
	Detail  string
	RunTime time.Duration
	Waited  time.Duration // in the agent's queue
	Load    specifier.Load
}

func (Done) action() {}
