package replicator

// SaveSnapshot asks for a snapshot of the state as it is now, after the entry at Snapshot.Index. The next one
// comes after SnapshotSaved, or after a Restore, which makes an older snapshot that is still being saved worthless.
type SaveSnapshot struct {
	Snapshot Snapshot
}

func (SaveSnapshot) action() {}
