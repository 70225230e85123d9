package journaler

// Truncate removes all records from index From on.
type Truncate struct {
	From uint64
}

func (Truncate) operation() {}
