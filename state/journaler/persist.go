package journaler

// Persist replaces the hard state.
type Persist struct {
	State HardState
}

func (Persist) operation() {}
