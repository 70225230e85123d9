package admitter

import "time"

// Demand is what a decision on one job depends on.
type Demand struct {
	QueuedWork time.Duration // run time of the work that waits at this entry
	Queued     int           // tasks that wait at this entry
	Slots      float64       // slots that this entry can count on
	Tasks      int           // of the job
	Work       time.Duration // expected run time of all tasks of the job
	Longest    time.Duration // expected run time of its longest task
	TimeLeft   time.Duration // until its deadline
}

// TimeToFinish returns how long the job is expected to take. All work that waits counts as ahead of it: narrow
// jobs overtake a wide one, and a job that overtakes others makes those late that were admitted before.
func (d Demand) TimeToFinish() time.Duration {
	return time.Duration(float64(d.QueuedWork+d.Work)/max(d.Slots, 1)) + d.Longest
}
