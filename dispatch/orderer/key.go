package orderer

import (
	"time"

	"oleandertally/core/specifier"
)

// TaskPenalty is the time that each task of a job adds to the job's order key. Wide jobs then wait behind narrow jobs
// that arrive slightly later, without any knowledge of run times.
const TaskPenalty = 100 * time.Millisecond

// Key is the position of a task in the order in which tasks start: by time, then by job and task. The time is on the
// clock of the process that has the Key in memory.
type Key struct {
	At   time.Time
	Job  specifier.JobID
	Task string
}

// NewKey returns the key of a task of a job that arrived at the given time with the given number of tasks.
func NewKey(arrival time.Time, tasks, priority int, key specifier.TaskKey) Key {
	at := arrival.Add(time.Duration(tasks-priority) * TaskPenalty)
	return Key{At: at, Job: key.Job, Task: key.Task}
}

// Less reports whether k starts before other.
func (k Key) Less(other Key) bool {
	if !k.At.Equal(other.At) {
		return k.At.Before(other.At)
	}
	if k.Job != other.Job {
		return string(k.Job[:]) < string(other.Job[:])
	}
	return k.Task < other.Task
}
