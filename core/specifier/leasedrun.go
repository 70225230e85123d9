package specifier

// LeasedRun is a run at a worker.
type LeasedRun struct {
	Key        RunKey
	Checkpoint string    // newest checkpoint
	Resources  Resources // zero when the agent does not know it
	Starting   bool      // the worker has not confirmed the start
}
