package replicator

// Apply hands over committed entries in order and without gaps; only those of kind Data concern the state.
type Apply struct {
	Entries []Entry
}

func (Apply) action() {}
