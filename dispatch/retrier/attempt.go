package retrier

import "time"

// Attempt describes a task that is a candidate for a retry.
type Attempt struct {
	Profile    string
	Repeatable bool
	Cause      Cause
	Count      int       // previous attempts
	Deadline   time.Time // zero if the task has no deadline
}
