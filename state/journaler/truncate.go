package journaler

// Truncate removes the record at From and all later ones.
type Truncate struct {
	From uint64
}

func (Truncate) operation() {}
