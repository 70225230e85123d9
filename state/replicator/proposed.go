package replicator

// Proposed says at which position of the log a request is. It took effect if Apply hands over this index with
// this term; another term at this index means that it is lost.
type Proposed struct {
	Ticket Ticket
	Index  Index
	Term   Term
}

func (Proposed) action() {}
