package replicator

// Ticket is chosen by the adapter and ties a request to its Proposed or Refused.
type Ticket uint64
