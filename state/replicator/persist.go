package replicator

// Persist replaces the stored HardState.
type Persist struct {
	Write Write
	State HardState
}

func (Persist) action() {}
