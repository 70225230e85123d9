package executor

// Draining reports whether the agent takes new work.
type Draining struct {
	On bool
}

func (Draining) event() {}
