package replicator

// heldSend is a message that must not leave before a disk write is durable.
type heldSend struct {
	write    Write
	envelope Envelope
}
