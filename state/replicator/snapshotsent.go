package replicator

// SnapshotSent reports the end of a SendSnapshot, successful or not.
type SnapshotSent struct {
	To     ServerID
	Index  Index
	Failed bool
}

func (SnapshotSent) event() {}
