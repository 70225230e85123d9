package replicator

// BecameFollower reports that this server lost the leadership, or that the leader it knows changed, possibly to none.
type BecameFollower struct {
	Term   Term
	Leader ServerID // zero while unknown
}

func (BecameFollower) action() {}
