package admitter

import "time"

// Demand describes one job and the load of the entry that decides whether to admit the job.
type Demand struct {
	QueuedWork time.Duration // expected run time of all tasks that wait at this entry
	Queued     int           // number of tasks that wait at this entry
	Slots      float64       // slots available to this entry
	Tasks      int           // number of tasks of the job
	Work       time.Duration // expected run time of all tasks of the job
	Longest    time.Duration // expected run time of the longest task of the job
	TimeLeft   time.Duration // time until the deadline of the job
}

// TimeToFinish returns the expected time until the job is complete. All waiting work is assumed to run before the job: narrow jobs
// overtake a wide job, and a narrow job that overtakes others delays jobs that were admitted before it.
func (d Demand) TimeToFinish() time.Duration {
	return time.Duration(float64(d.QueuedWork+d.Work)/max(d.Slots, 1)) + d.Longest
}
