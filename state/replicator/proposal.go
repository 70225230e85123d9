package replicator

// proposal waits for the disk to finish the previous append.
type proposal struct {
	ticket Ticket
	data   []byte
}
