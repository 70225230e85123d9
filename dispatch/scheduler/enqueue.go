package scheduler

import (
	"time"
)

// Enqueue adds items that may start.
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
		if e.push(now, job, item, 0) == free {
			e.lastShort = now
		}
	}
}

// push adds a task to the lane of its profile's class.
func (e *Engine[P, T]) push(now time.Time, job *job, item Item, attempts int) lane {
	typical := e.profiles[item.Profile].TypicalTime
	kind := laneOf(e.classifier.Class(item.Profile, typical))
	next := e.allocate()
	*next = task{item: item, job: job, lane: kind, attempts: attempts, expected: e.mean(item.Profile, item.Deadline.Sub(now))}
	job.pool.count(next, 1)
	job.pool.waiting[kind].Push(next)
	return kind
}

// mean returns the expected run time of a task. A declared time that is ten times too long must not keep a profile from
// ever running, and so from being learned: until then it counts as at most a part of the time left.
func (e *Engine[P, T]) mean(profile string, left time.Duration) time.Duration {
	typical := e.profiles[profile].TypicalTime
	if !e.classifier.Learned(profile) && left > 0 {
		return min(typical, time.Duration(unlearnedShare*float64(left)))
	}
	return e.classifier.Mean(profile, typical)
}
