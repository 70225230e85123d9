package replicator

// Received is a message from a peer. The adapter has checked the message's limits.
type Received struct {
	Envelope Envelope
}

func (Received) event() {}
