package replicator

// BecameLeader reports that this server leads and has applied every entry committed before its term.
type BecameLeader struct {
	Term Term
}

func (BecameLeader) action() {}
