package orderer

import "time"

// Policy turns the arrival of a job into the time of its order key.
type Policy interface {
	OrderTime(arrival time.Time, tasks, priority int) time.Time
}
