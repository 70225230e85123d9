package admitter

import (
	"math"
	"time"
)

// Demand describes one job and the load of the entry that decides whether to admit the job.
type Demand struct {
	QueuedWork time.Duration // expected run time of all tasks that wait at this entry
	Queued     int           // number of tasks that wait at this entry
	Slots      float64       // slots available to this entry
	Tasks      int           // number of tasks of the job
	Work       time.Duration // expected run time of all tasks of the job
	Longest    time.Duration // expected run time of the longest task of the job
	TimeLeft   time.Duration // time until the deadline or the objective of the job

	// The following fields are for jobs whose answers are of use after TimeLeft.
	UsefulFor     time.Duration // time until an answer is of no use
	Displaced     time.Duration // expected run time of the tasks that are ordered behind the job and would start too late because of it
	Lead          float64       // by how much the callers' zone gets a larger part of its demand than the zone that gets least
	AllQueuedWork time.Duration // expected run time of all waiting tasks, also of those that are ordered behind the job
	AllSlots      float64       // slots of the pool
	Arriving      float64       // slots needed for the work as it arrives now
}

// LateTimeToFinish returns the expected time until the job is complete if arriving work goes before it. The result is the longest
// duration if the arriving work leaves no slots.
func (d Demand) LateTimeToFinish() time.Duration {
	spare := d.AllSlots - d.Arriving
	if spare <= 0 {
		return math.MaxInt64
	}
	wait := float64(d.AllQueuedWork+d.Work) / spare
	if wait >= math.MaxInt64/2 {
		return math.MaxInt64
	}
	return time.Duration(wait) + d.Longest
}

// TimeToFinish returns the expected time until the job is complete. All waiting work is assumed to run before the job: narrow jobs
// overtake a wide job, and a narrow job that overtakes others delays jobs that were admitted before it.
func (d Demand) TimeToFinish() time.Duration {
	return time.Duration(float64(d.QueuedWork+d.Work)/max(d.Slots, 1)) + d.Longest
}
