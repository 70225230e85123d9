package replicator

// Transfer asks the leader to hand over, for a planned stop. BecameFollower follows once it has. When
// the target does not catch up within an election timeout, the leader takes proposals again.
type Transfer struct {
	Ticket Ticket   // for Refused
	To     ServerID // a voter, or zero for the one that holds most of the log
}

func (Transfer) event() {}
