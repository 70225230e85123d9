package retrier

import (
	"math/rand/v2"
	"time"
)

// Retrier plans retries within a budget for each profile. Random is set before use. A Retrier is not safe for
// concurrent use.
type Retrier struct {
	Random  *rand.Rand
	budgets map[string]*Budget
}

const (
	// firstDelay is longer than a round trip between zones, so that the agent's state has changed by the retry.
	firstDelay = 10 * time.Millisecond
	maxDelay   = time.Second
)

// RecordFirstAttempt credits the budget of a profile with one first attempt; ratio is the profile's retry ratio.
func (r *Retrier) RecordFirstAttempt(profile string, ratio float64) {
	r.budget(profile).RecordFirstAttempt(ratio)
}

// Plan returns the time of the retry. It returns false if the task may have run and is not repeatable, if the retry would
// come after the deadline, or if the worker is lost and the budget is spent. When the budget is spent, a
// task that was not started is retried after maxDelay, since another agent may still have free capacity.
func (r *Retrier) Plan(now time.Time, attempt Attempt) (time.Time, bool) {
	if attempt.Cause == Lost && !attempt.Repeatable {
		return time.Time{}, false
	}
	delay := min(firstDelay<<min(max(attempt.Count-1, 0), 10), maxDelay)
	if !r.budget(attempt.Profile).Take() {
		if attempt.Cause == Lost {
			return time.Time{}, false
		}
		delay = maxDelay
	}
	// The delay is uniform between 50% and 150%, so that tasks that were refused together are not retried together.
	at := now.Add(delay/2 + time.Duration(r.Random.Int64N(int64(delay))))
	if !attempt.Deadline.IsZero() && !at.Before(attempt.Deadline) {
		return time.Time{}, false
	}
	return at, true
}

func (r *Retrier) budget(profile string) *Budget {
	if r.budgets == nil {
		r.budgets = make(map[string]*Budget)
	}
	budget := r.budgets[profile]
	if budget == nil {
		budget = &Budget{}
		r.budgets[profile] = budget
	}
	return budget
}
