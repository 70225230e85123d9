package executor

import (
	"time"

	"oleandertally/core/specifier"
)

// expiry is a deadline: of a queued task, or of a whole job when the task is empty.
type expiry struct {
	at  time.Time
	key specifier.TaskKey
}

func (e expiry) less(other expiry) bool {
	if !e.at.Equal(other.at) {
		return e.at.Before(other.at)
	}
	if e.key.Job != other.key.Job {
		return string(e.key.Job[:]) < string(other.key.Job[:])
	}
	return e.key.Task < other.key.Task
}
