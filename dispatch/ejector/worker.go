package ejector

import (
	"time"

	"oleandertally/core/specifier"
)

// Worker is the health of one worker as observed by one entry.
type Worker[B any, T Breaker[B]] struct {
	breaker        B
	state          State
	ejectedUntil   time.Time // end of the ejection
	ejections      int       // consecutive ejections; each lasts longer than the one before
	returningTasks int       // limit of concurrent tasks while returning
	failedAt       time.Time // time of the last failure that was counted
	lastFailedJob  specifier.JobID
	failedJobs     int     // consecutive failures that were counted
	slowShare      float64 // moving average of the share of slow tasks
}

// State returns the state of the worker.
func (w *Worker[B, T]) State() State { return w.state }

// Limit returns how many tasks may be assigned to the worker. After a failure, the worker gets one task at a time until
// a task that was sent after the failure succeeds; sentSinceFailure is the number of assigned tasks sent since then.
func (w *Worker[B, T]) Limit(now time.Time, slots, sentSinceFailure int) int {
	switch w.state {
	case Ejected:
		if now.Before(w.ejectedUntil) {
			return 0
		}
		return 1
	case Probing:
		return 1
	case Returning:
		return w.returningTasks
	}
	if T(&w.breaker).LastFailed() && sentSinceFailure > 0 {
		return 0
	}
	return slots
}

// Weight returns the share of its slots that the worker should use. The weight of a straggler decreases gradually. At a
// weight of 0, most tasks on the worker are slow, and it should get work only when no other worker has a free slot.
func (w *Worker[B, T]) Weight() float64 {
	return max(min((zeroWeightSlowShare-w.slowShare)/(zeroWeightSlowShare-fullWeightSlowShare), 1), 0)
}

// FailedAt returns the time of the last failure of a healthy worker, or the zero time if the last outcome was a success.
func (w *Worker[B, T]) FailedAt() time.Time {
	if w.state == Healthy && T(&w.breaker).LastFailed() {
		return w.failedAt
	}
	return time.Time{}
}

const (
	// SlowRatio is the ratio of actual to expected run time above which a task counts as slow. For tasks of 50 ms to
	// 1 s with rare long tasks, 1% are slow on a healthy worker, and 80% on a worker at a fifth of its speed.
	SlowRatio = 2
	// The weight of a worker falls from 1 at an average share of slow tasks of fullWeightSlowShare to 0 at
	// zeroWeightSlowShare. A healthy worker needs two slow tasks among three to reach the former.
	fullWeightSlowShare = 0.25
	zeroWeightSlowShare = 0.6
	// slowShareSmoothing averages over about 7 tasks, since a straggler completes few.
	slowShareSmoothing = 0.15
)

// RecordSlow records that a task has run for SlowRatio times its expected run time and has not ended.
func (w *Worker[B, T]) RecordSlow() { w.recordRatio(SlowRatio + 1) }

// recordRatio records the ratio of actual to expected run time of a task.
func (w *Worker[B, T]) recordRatio(ratio float64) {
	slow := 0.0
	if ratio > SlowRatio {
		slow = 1
	}
	w.slowShare += slowShareSmoothing * (slow - w.slowShare)
}
