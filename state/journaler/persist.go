package journaler

// Persist replaces the hard state.
type Persist struct {
	State State
}

func (Persist) operation() {}
