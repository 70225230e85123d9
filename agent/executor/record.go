package executor

import (
	"time"

	"oleandertally/core/specifier"
)

// record is the start-once record of one task.
type record struct {
	key      specifier.TaskKey
	epoch    specifier.Epoch
	state    specifier.TaskState
	payload  []byte // until started
	profile  string
	deadline time.Time
	queued   time.Time
	started  time.Time
	body     []byte
	detail   string
	runTime  time.Duration
	waited   time.Duration
}
