package executor

// Event is an input of the executor.
type Event interface{ event() }
