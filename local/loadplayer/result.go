package loadplayer

import "time"

// Result is what callers of one kind, or in one window of time, got.
type Result struct {
	Name         string
	Asked        int
	InTime       int
	Late         int
	RefusedEarly int // within a quarter of the objective
	RefusedLate  int
	RefusedFree  int // refused while workers had room for the whole job
	Failed       int
	Unanswered   int
	Weight       float64
	Busy         float64 // mean share of the workers' cores in use, for a window
	WeightInTime float64 // weight of the answers in time
	Earned       float64 // weight of the answers in time, and a fifth of that of late ones
}

// lateShare is what a late answer is worth to a caller, relative to one in time.
const lateShare = 0.2

// Share returns what was earned of all weight.
func (r Result) Share() float64 {
	if r.Weight == 0 {
		return 1
	}
	return r.Earned / r.Weight
}

// add counts the outcome of a request.
func (r *Result) add(q *request, got outcome, took time.Duration, weight float64) {
	r.Asked++
	r.Weight += weight
	switch {
	case got == outcomeDone && took <= q.objective:
		r.InTime++
		r.WeightInTime += weight
		r.Earned += weight
	case got == outcomeDone:
		r.Late++
		r.Earned += lateShare * weight
	case got == outcomeFailed:
		r.Failed++
	case got == outcomeUnanswered:
		r.Unanswered++
	case took <= q.objective/4:
		r.RefusedEarly++
	default:
		r.RefusedLate++
	}
}
