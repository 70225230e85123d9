package executor

// Action is an output of the executor.
type Action interface{ action() }
