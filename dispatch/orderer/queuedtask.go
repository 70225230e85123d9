package orderer

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/classifier"
)

// QueuedTask is one task in an agent's queue.
type QueuedTask struct {
	Key      Key
	Deadline time.Time // the task is dropped when it has not started by then; zero: never
	Class    classifier.Class
	Profile  string
	Team     string
}

// TaskKey returns the task that the entry stands for.
func (e QueuedTask) TaskKey() specifier.TaskKey {
	return specifier.TaskKey{Job: e.Key.Job, Task: e.Key.Task}
}
