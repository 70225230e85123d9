package executor

// Draining reports whether the controllers have set the agent to drain, so that it takes no new work.
type Draining struct {
	On bool
}

func (Draining) event() {}
