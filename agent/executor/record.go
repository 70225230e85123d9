package executor

import (
	"time"

	"oleandertally/core/specifier"
)

// record is the start-once record of one task.
type record struct {
	task    string
	epoch   specifier.Epoch
	state   specifier.TaskState
	attempt *attempt // nil once the task has ended
	body    []byte
	detail  string
	runTime time.Duration
	waited  time.Duration
}
