package scheduler

import "time"

// task is an item from the time it is queued until its agent has answered. Records are recycled.
type task struct {
	item     Item
	job      *job
	lane     lane
	attempts int           // times sent to an agent
	expected time.Duration // run time

	// The following are set while an agent holds the task.
	agent *agent
	sent  time.Time
	at    int  // position in the job's list
	slow  bool // has been counted as slow while it ran
}

// late reports whether the task can hardly end before its deadline: half of the tasks of most profiles run
// for less than their mean, so half of the mean must fit.
func (t *task) late(now time.Time) bool {
	return !t.item.Deadline.IsZero() && t.item.Deadline.Sub(now) < t.expected/2
}
