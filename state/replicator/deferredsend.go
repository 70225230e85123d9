package replicator

// heldSend is a message that must not leave before a disk write is durable.
type deferredSend struct {
	write    Write
	envelope Envelope
}
