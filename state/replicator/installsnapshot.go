package replicator

// InstallSnapshot announces a snapshot. The receiver's adapter has already stored its content durably.
type InstallSnapshot struct {
	Round    uint64
	Snapshot Snapshot
}

func (InstallSnapshot) message() {}
