package specifier

import "time"

// Step is a set of equal tasks of a queued job.
type Step struct {
	Count       int
	Resources   Resources     // resources of each task
	Estimate    time.Duration // declared run time of a task; rough
	After       []int         // indexes of earlier steps whose tasks must all be done first
	Checkpoints bool          // tasks save checkpoints
	Label       string        // label that the worker must have; empty for any worker
	DataRack    string        // location of the data; tasks run slower elsewhere
	PerWorker   int           // limit of tasks of the step on one worker; 0 for no limit
	Speculative bool          // copies of a task may run at the same time
}

// Constrained reports whether only some workers may run the step's tasks, or some run them faster.
func (s *Step) Constrained() bool { return s.Label != "" || s.DataRack != "" || s.PerWorker > 0 }
