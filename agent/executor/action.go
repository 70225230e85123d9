package executor

// Action is something that the agent does.
type Action interface{ action() }
