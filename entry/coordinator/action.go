package coordinator

// Action is something that the entry does.
type Action interface{ action() }
