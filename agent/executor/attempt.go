package executor

import "time"

// attempt is what a task needs until it has ended. Records are kept for minutes after that, so they
// do not carry it.
type attempt struct {
	payload  []byte // until started
	profile  string
	deadline time.Time
	queued   time.Time
	started  time.Time
}
