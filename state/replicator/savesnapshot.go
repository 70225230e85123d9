package replicator

// SaveSnapshot asks for a snapshot of the state as it is now, after the entry at Snapshot.Index. At most one is
// being saved at a time.
type SaveSnapshot struct {
	Snapshot Snapshot
}

func (SaveSnapshot) action() {}
