package replicator

// SnapshotSaved reports that the snapshot that SaveSnapshot asked for survives a crash. A snapshot
// never takes the place of one with a greater index.
type SnapshotSaved struct {
	Index Index
}

func (SnapshotSaved) event() {}
