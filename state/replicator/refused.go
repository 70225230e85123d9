package replicator

// Refused reports that a request had no effect.
type Refused struct {
	Ticket Ticket
	Reason Reason
	Leader ServerID // the leader to ask after NotLeader; zero while unknown
}

func (Refused) action() {}
