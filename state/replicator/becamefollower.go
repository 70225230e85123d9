package replicator

// BecameFollower says that this server lost the lead, or that it learned of another leader or that there is none.
type BecameFollower struct {
	Term   Term
	Leader ServerID // zero while unknown
}

func (BecameFollower) action() {}
