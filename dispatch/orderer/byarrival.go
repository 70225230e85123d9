package orderer

import "time"

// ByArrival is the baseline policy: jobs start in order of arrival.
type ByArrival struct{}

// OrderTime returns arrival.
func (ByArrival) OrderTime(arrival time.Time, tasks, priority int) time.Time { return arrival }
