package replicator

// SendSnapshot streams the stored snapshot to Envelope.To, then the envelope, whose message is an
// InstallSnapshot. The file stays readable until SnapshotSent reports the end.
type SendSnapshot struct {
	Envelope Envelope
	Snapshot Snapshot
}

func (SendSnapshot) action() {}
