package replicator

// Send sends an envelope to the server Envelope.To.
type Send struct {
	Envelope Envelope
}

func (Send) action() {}
