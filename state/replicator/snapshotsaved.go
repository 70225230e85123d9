package replicator

// SnapshotSaved reports that the snapshot that SaveSnapshot asked for survives a crash.
type SnapshotSaved struct {
	Index Index
}

func (SnapshotSaved) event() {}
