package coordinator

// Action is an effect that the coordinator requests from the entry.
type Action interface{ action() }
