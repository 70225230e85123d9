package replicator

// SnapshotSaved reports that the snapshot requested by SaveSnapshot is durable. The adapter never replaces a snapshot by
// one with a smaller index.
type SnapshotSaved struct {
	Index Index
}

func (SnapshotSaved) event() {}
