package replicator

// SnapshotSent reports that a SendSnapshot ended, successfully or not.
type SnapshotSent struct {
	To     ServerID
	Index  Index
	Failed bool
}

func (SnapshotSent) event() {}
