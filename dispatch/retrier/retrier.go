package retrier

import (
	"math/rand/v2"
	"time"
)

// Retrier plans retries within a budget for each profile. Random is set before use. It is used by one goroutine.
type Retrier struct {
	Random  *rand.Rand
	budgets map[string]*Budget
}

const (
	// firstDelay is longer than a round trip between zones, so that the agent's state has changed.
	firstDelay = 10 * time.Millisecond
	maxDelay   = time.Second
)

// RecordFirstAttempt notes a first attempt of a profile with a retry ratio.
func (r *Retrier) RecordFirstAttempt(profile string, ratio float64) {
	r.budget(profile).RecordFirstAttempt(ratio)
}

// Plan returns when the task may be sent again, or false when it may not: it may have run and is not repeatable, its
// deadline would be past, or it is lost and the budget is spent. A task that is proved not started waits the longest
// delay when the budget is spent, since another agent may still have room for it.
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
	// Full jitter above half: tasks that were refused together do not come back together.
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
	known := r.budgets[profile]
	if known == nil {
		known = &Budget{}
		r.budgets[profile] = known
	}
	return known
}
