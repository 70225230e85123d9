package specifier

// LeasedRun is a run of a task at a worker, under a lease.
type LeasedRun struct {
	Key        RunKey
	Checkpoint string    // newest one
	Resources  Resources // zero when the agent does not know them
	Starting   bool      // the worker has not confirmed the start
	Stopping   bool      // the agent is stopping it
}
