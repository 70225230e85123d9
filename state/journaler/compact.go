package journaler

// Compact allows the records up to Through to be removed.
type Compact struct {
	Through uint64
}

func (Compact) operation() {}
