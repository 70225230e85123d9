package executor

import (
	"time"

	"oleandertally/core/specifier"
)

// Done reports the end of a task to the entry that owns the job.
type Done struct {
	Entry   specifier.Identity
	Key     specifier.TaskKey
	Epoch   specifier.Epoch
	Broken  bool
	Body    []byte
	Detail  string
	RunTime time.Duration
	Waited  time.Duration // time in the agent's queue
	Load    specifier.Load
}

func (Done) action() {}
