package replicator

// Refused answers a request that had no effect.
type Refused struct {
	Ticket Ticket
	Reason Reason
	Leader ServerID // for NotLeader; zero while unknown
}

func (Refused) action() {}
