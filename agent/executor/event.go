package executor

// Event is something that happened to the agent.
type Event interface{ event() }
