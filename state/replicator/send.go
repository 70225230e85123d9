package replicator

// Send sends a message to the server Envelope.To.
type Send struct {
	Envelope Envelope
}

func (Send) action() {}
