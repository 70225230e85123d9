package player

import (
	"time"

	"oleandertally/replay/tracer"
)

// Record is the result of one job.
type Record struct {
	Job            tracer.Job
	Outcome        Outcome
	Response       time.Duration // from the caller's first request to the answer
	Late           bool          // the answer came after the deadline
	LostTasks      int           // tasks that failed on an unhealthy worker
	windowSlotTime time.Duration // slot time used in the goodput window
}

// Ratio returns the response time over the job's ideal.
func (r Record) Ratio() float64 {
	return float64(r.Response) / float64(r.Job.Ideal(tracer.Slots, 2*callerDelay))
}
