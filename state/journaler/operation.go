package journaler

// Operation is one change of the log: Append, Truncate, Persist, Reset or Compact.
type Operation interface{ operation() }

// Append adds consecutive records; the first follows the last record of the log.
type Append struct {
	Records []Record
}

func (Append) operation() {}

// Truncate removes the record at From and all later ones.
type Truncate struct {
	From uint64
}

func (Truncate) operation() {}

// Persist replaces the hard state.
type Persist struct {
	State State
}

func (Persist) operation() {}

// Reset removes every record; the next one has index Index+1. It follows the installation of a
// snapshot that ends at Index.
type Reset struct {
	Index uint64
}

func (Reset) operation() {}

// Compact allows the records up to Through to be removed.
type Compact struct {
	Through uint64
}

func (Compact) operation() {}
