package replicator

// Apply delivers committed entries in order and without gaps. Only entries of kind Data change the state.
type Apply struct {
	Entries []Entry
}

func (Apply) action() {}
