package replicator

// Propose asks the leader to commit Data, which must not be modified afterwards. The node answers with Proposed or
// Refused.
type Propose struct {
	Ticket Ticket
	Data   []byte
}

func (Propose) event() {}
