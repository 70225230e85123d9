package player

import (
	"time"

	"oleandertally/replay/tracer"
)

// Record is what became of one job.
type Record struct {
	Job       tracer.Job
	Outcome   Outcome
	Response  time.Duration // from the caller's first request to the answer
	Late      bool          // the answer came after the deadline
	LostTasks int           // tasks that a sick worker failed
	ran       time.Duration // slot time in the window of goodput
}

// Ratio returns the response time over the job's ideal.
func (r Record) Ratio() float64 {
	return float64(r.Response) / float64(r.Job.Ideal(tracer.Slots, 2*callerDelay))
}
