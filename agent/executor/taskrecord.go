package executor

import (
	"time"

	"oleandertally/core/specifier"
)

// taskRecord is the agent's record of one task. It ensures that the task starts at most once.
type taskRecord struct {
	task     string
	epoch    specifier.Epoch
	state    specifier.TaskState
	attempt  *attempt // nil once the task has ended
	body     []byte
	detail   string
	runTime  time.Duration
	waitTime time.Duration
}
