package orderer

import "time"

// ByWidth adds Penalty for each task of the job, at most Bound, so that a wide job is passed over
// only by jobs that arrive within Bound after it.
type ByWidth struct {
	Penalty    time.Duration
	MaxPenalty time.Duration // zero: none
}

// OrderTime returns arrival plus the penalty, less one penalty for each step of priority.
func (w ByWidth) OrderTime(arrival time.Time, tasks, priority int) time.Time {
	penalty := time.Duration(tasks) * w.Penalty
	if w.MaxPenalty > 0 {
		penalty = min(penalty, w.MaxPenalty)
	}
	return arrival.Add(penalty - time.Duration(priority)*w.Penalty)
}
