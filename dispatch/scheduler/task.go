package scheduler

import "time"

// task is an item from the time it is queued until its agent responds. Tasks are recycled to avoid allocations.
type task struct {
	item     Item
	job      *job
	lane     lane
	attempts int           // number of times the task was sent to an agent
	expected time.Duration // expected run time

	// The following fields are set while the task is assigned to an agent.
	agent       *agent
	sentAt      time.Time
	sentIndex   int  // index in job.sent
	countedSlow bool // the task was counted as slow while it ran
}

// tooLate reports whether the task will probably miss its deadline: less than half of its mean run time is left. Half of
// the mean is the limit because half of the tasks of most profiles run for less than their mean.
func (t *task) tooLate(now time.Time) bool {
	return !t.item.Deadline.IsZero() && t.item.Deadline.Sub(now) < t.expected/2
}
