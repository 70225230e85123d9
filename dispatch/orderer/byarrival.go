package orderer

import "time"

// ByArrival is the baseline: jobs in order of arrival.
type ByArrival struct{}

// At returns arrival.
func (ByArrival) At(arrival time.Time, tasks, priority int) time.Time { return arrival }
