package coordinator

// Event is an input of the coordinator.
type Event interface{ event() }
