package executor

// Leaving starts the agent's shutdown: the agent permanently takes no new work, refuses its queued tasks, waits for the
// running ones, and asks each connected entry for its release.
type Leaving struct{}

func (Leaving) event() {}
