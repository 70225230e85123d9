package executor

// Left says, after Ended, that every entry has released the agent.
type Left struct{}

func (Left) action() {}
