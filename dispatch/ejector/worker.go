package ejector

import (
	"time"

	"oleandertally/core/specifier"
)

// Worker is the health of one worker as one entry sees it.
type Worker[B any, T Breaker[B]] struct {
	breaker  B
	state    State
	until    time.Time // of the ejection
	ejected  int       // ejections in a row, each of which lasts longer
	allowed  int       // tasks at once, while it returns
	failedAt time.Time // last failure that counts
	lastJob  specifier.JobID
	jobs     int     // that failed in a row
	slow     float64 // moving average of the share of slow tasks
}

// State returns how the worker is treated.
func (w *Worker[B, T]) State() State { return w.state }

// Limit returns how many tasks the worker may hold, given how many it holds and could hold. A worker whose
// last outcome was a failure gets one more at a time until a task that was sent later succeeds.
func (w *Worker[B, T]) Limit(now time.Time, slots, sentSinceFailure int) int {
	switch w.state {
	case Ejected:
		if now.Before(w.until) {
			return 0
		}
		return 1
	case Probing:
		return 1
	case Returning:
		return w.allowed
	}
	if T(&w.breaker).LastFailed() && sentSinceFailure > 0 {
		return 0
	}
	return slots
}

// Weight returns the share of its slots that the worker should be given: less by degrees for a straggler, 0 for
// one on which most tasks are slow, which should get work only when no other has a free slot.
func (w *Worker[B, T]) Weight() float64 {
	return max(min((slowTo-w.slow)/(slowTo-slowFrom), 1), 0)
}

// FailedAt returns when the last failure came that makes the worker suspect, or the zero time.
func (w *Worker[B, T]) FailedAt() time.Time {
	if w.state == Healthy && T(&w.breaker).LastFailed() {
		return w.failedAt
	}
	return time.Time{}
}

const (
	// SlowRatio is the run time over the expected one from which a task counts as slow. Of tasks of 50 ms to 1 s
	// with rare long ones, 1% are; on a worker at a fifth of its speed, 80%.
	SlowRatio = 2
	// slowFrom and slowTo are the average of slow tasks at which a worker loses its first and its last share.
	// A healthy worker needs two slow tasks among three to reach the first.
	slowFrom = 0.25
	slowTo   = 0.6
	// smoothing averages over about 7 tasks: a straggler answers few.
	smoothing = 0.15
)

// RecordSlow notes that a task has run for SlowRatio of its expected time and has not ended.
func (w *Worker[B, T]) RecordSlow() { w.ran(SlowRatio + 1) }

// ran notes how a run time compares with what its profile leads to expect.
func (w *Worker[B, T]) ran(ratio float64) {
	slow := 0.0
	if ratio > SlowRatio {
		slow = 1
	}
	w.slow += smoothing * (slow - w.slow)
}
