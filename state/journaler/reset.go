package journaler

// Reset removes all records, so that the next record has index Index+1. It is used after the
// installation of a snapshot that ends at Index.
type Reset struct {
	Index uint64
}

func (Reset) operation() {}
