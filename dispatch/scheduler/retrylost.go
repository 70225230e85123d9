package scheduler

import (
	"time"

	"oleandertally/dispatch/retrier"
)

// RetryLost queues repeatable tasks whose worker is lost, within the retry budget of their profile. It returns
// false if a task cannot be queued, since its job can then not be completed.
func (e *Engine[P, T]) RetryLost(now time.Time, items []Item) bool {
	e.init()
	for _, item := range items {
		attempt := retrier.Attempt{Profile: item.Profile, Repeatable: true, Cause: retrier.Lost, Count: 1, Deadline: item.Deadline}
		at, ok := e.retrier.Plan(now, attempt)
		if !ok {
			return false
		}
		job := e.job(item.Key.Job, e.pool(item.Service))
		job.team = item.Team
		job.delayed++
		next := e.allocate()
		*next = task{item: item, job: job, attempts: 1}
		e.delayed.Push(delayed{at: at, task: next})
	}
	return true
}
