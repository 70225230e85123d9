package replicator

// Received is a message from a peer. The adapter has checked its bounds.
type Received struct {
	Envelope Envelope
}

func (Received) event() {}
