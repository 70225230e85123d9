package replicator

// InstallSnapshot offers a snapshot whose content the receiver has stored durably.
type InstallSnapshot struct {
	Round    uint64
	Snapshot Snapshot
}

func (InstallSnapshot) message() {}
