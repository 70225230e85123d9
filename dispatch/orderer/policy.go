package orderer

import "time"

// Policy decides the time of a job's order key from the job's arrival, width and priority.
type Policy interface {
	OrderTime(arrival time.Time, tasks, priority int) time.Time
}
