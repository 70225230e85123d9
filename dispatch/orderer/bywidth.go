package orderer

import "time"

// ByWidth adds Penalty to the arrival for each task of the job, but at most MaxPenalty in total, so that a wide job is
// overtaken only by jobs that arrive within MaxPenalty after it.
type ByWidth struct {
	Penalty    time.Duration
	MaxPenalty time.Duration // zero: no limit
}

// OrderTime returns arrival plus the penalty, minus one Penalty for each step of priority.
func (w ByWidth) OrderTime(arrival time.Time, tasks, priority int) time.Time {
	penalty := time.Duration(tasks) * w.Penalty
	if w.MaxPenalty > 0 {
		penalty = min(penalty, w.MaxPenalty)
	}
	return arrival.Add(penalty - time.Duration(priority)*w.Penalty)
}
