package replicator

// proposal is a proposal that waits until the previous append is synced.
type proposal struct {
	ticket Ticket
	data   []byte
}
