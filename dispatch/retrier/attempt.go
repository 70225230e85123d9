package retrier

import "time"

// Attempt describes the task that would be sent again.
type Attempt struct {
	Profile    string
	Repeatable bool
	Cause      Cause
	Count      int       // attempts so far
	Deadline   time.Time // zero: none
}
