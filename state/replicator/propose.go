package replicator

// Propose asks the leader to commit Data, which the caller no longer modifies. It is answered by
// Proposed or Refused.
type Propose struct {
	Ticket Ticket
	Data   []byte
}

func (Propose) event() {}
