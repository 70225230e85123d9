package journaler

// Compact marks the records up to and including Through as removable.
type Compact struct {
	Through uint64
}

func (Compact) operation() {}
