package executor

import "time"

// attempt holds the data that a task needs only until it has ended. It is separate from the task's record, which
// is kept for minutes after the end.
type attempt struct {
	payload  []byte // nil once the task has started
	profile  string
	deadline time.Time
	queued   time.Time
	started  time.Time
}
