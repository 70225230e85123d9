package specifier

import "time"

// Step is a set of equal tasks of a queued job.
type Step struct {
	Count       int
	Resources   Resources     // of each task
	Estimate    time.Duration // declared run time of a task; rough
	After       []int         // earlier steps whose tasks must all be done first
	Checkpoints bool
	Label       string // that the worker must have; empty for any
	DataRack    string // where the data is; tasks run elsewhere too, but slower
	PerWorker   int    // most tasks of the step on one worker; 0 for no limit
	Speculative bool   // copies may run at the same time
}
