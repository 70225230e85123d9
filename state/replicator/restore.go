package replicator

// Restore replaces the state and the whole stored log by a snapshot received from the leader. The next entry that is
// appended has the index Snapshot.Index+1.
type Restore struct {
	Write    Write
	Snapshot Snapshot
}

func (Restore) action() {}
