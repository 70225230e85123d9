package replicator

// Ticket identifies a request in its Proposed or Refused. The adapter chooses it.
type Ticket uint64
