package scheduler

import (
	"time"
)

// Enqueue adds items that are ready to start.
func (e *Engine[P, T]) Enqueue(now time.Time, items []Item) {
	e.init()
	var delay time.Duration
	if len(items) > 0 {
		delay = e.teamDelay(now, items[0])
	}
	for _, item := range items {
		pool := e.pool(item.Service)
		job := e.job(item.Key.Job, pool)
		job.team = item.Team
		item.Order.At = item.Order.At.Add(delay)
		item.Order = item.Order.LimitOvertaking(now, item.Deadline)
		e.retrier.RecordFirstAttempt(item.Profile, e.profiles[item.Profile].RetryBudget)
		if e.push(now, job, item, 0) == shortLane {
			e.lastShortAt = now
		}
	}
}

// push adds a task to the lane of its profile's class.
func (e *Engine[P, T]) push(now time.Time, job *job, item Item, attempts int) lane {
	typical := e.profiles[item.Profile].TypicalTime
	lane := laneOf(e.classifier.Class(item.Profile, typical))
	next := e.allocate()
	*next = task{item: item, job: job, lane: lane, attempts: attempts, expected: e.expectedRunTime(item.Profile, item.Deadline.Sub(now))}
	job.pool.addToTotals(next, 1)
	job.pool.waiting[lane].Push(next)
	return lane
}

// expectedRunTime returns the expected run time of a task. Until the profile has enough samples, its declared run time
// is limited to a share of the time to the deadline. Otherwise a profile that declares ten times its actual run time
// would never be admitted, and so would never get samples.
func (e *Engine[P, T]) expectedRunTime(profile string, left time.Duration) time.Duration {
	typical := e.profiles[profile].TypicalTime
	if !e.classifier.Learned(profile) && left > 0 {
		return min(typical, time.Duration(unlearnedShare*float64(left)))
	}
	return e.classifier.Mean(profile, typical)
}
