package replicator

// Proposed reports the log position of a request. The request took effect if Apply delivers this index with this term; if
// Apply delivers another term at this index, the request is lost.
type Proposed struct {
	Ticket Ticket
	Index  Index
	Term   Term
}

func (Proposed) action() {}
