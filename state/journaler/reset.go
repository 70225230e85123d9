package journaler

// Reset removes every record; the next one has index Index+1. It follows the installation of a
// snapshot that ends at Index.
type Reset struct {
	Index uint64
}

func (Reset) operation() {}
