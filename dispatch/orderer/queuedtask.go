package orderer

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/classifier"
)

// QueuedTask is a task in an agent's queue.
type QueuedTask struct {
	Key      Key
	Deadline time.Time // the task is dropped if it has not started by then; zero: none
	Class    classifier.Class
	Profile  string
	Team     string
}

// TaskKey returns the identity of the task.
func (t QueuedTask) TaskKey() specifier.TaskKey {
	return specifier.TaskKey{Job: t.Key.Job, Task: t.Key.Task}
}
