package replicator

// deferredSend is a message that must not be sent before a disk write is durable.
type deferredSend struct {
	write    Write
	envelope Envelope
}
