package loadplayer

import "time"

// Kind is one kind of request: jobs of one step of equal tasks.
type Kind struct {
	Name       string
	Priority   int           // 0 comes first
	Rate       float64       // jobs a second, before the wave and bursts
	Tasks      float64       // mean number of tasks of a job
	Work       time.Duration // mean run time of a task on a worker of speed 1
	MilliCores int           // mean for each task
	Stretch    float64       // factor of the run time in the objective
	Target     time.Duration // fixed part of the objective
}

// meanCoreSeconds returns the mean work of a job.
func (k Kind) meanCoreSeconds() float64 {
	return k.Tasks * k.Work.Seconds() * float64(k.MilliCores) / 1000
}
