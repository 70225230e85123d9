package replicator

// SendSnapshot streams the stored snapshot to Envelope.To, followed by the envelope, whose message is an
// InstallSnapshot. The snapshot file stays readable until SnapshotSent reports the end.
type SendSnapshot struct {
	Envelope Envelope
	Snapshot Snapshot
}

func (SendSnapshot) action() {}
