package coordinator

// Event is something that happened to the entry.
type Event interface{ event() }
