package replicator

// Append adds entries to the end of the stored log.
type Append struct {
	Write   Write
	Entries []Entry // consecutive; the first one follows the last stored entry
}

func (Append) action() {}
