package replicator

// SaveSnapshot requests a snapshot of the current state, which is the state after the entry at Snapshot.Index. The node
// requests the next snapshot only after SnapshotSaved or after a Restore, which supersedes a snapshot being saved.
type SaveSnapshot struct {
	Snapshot Snapshot
}

func (SaveSnapshot) action() {}
