package replicator

// Transfer asks the leader to transfer the leadership before a graceful shutdown. BecameFollower reports that the leader has
// stepped down. If the target does not catch up within an election timeout, the leader accepts proposals again.
type Transfer struct {
	Ticket Ticket   // returned by Refused
	To     ServerID // a voter, or zero for the responsive voter that holds most of the log
}

func (Transfer) event() {}
