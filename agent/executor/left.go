package executor

// AllReleased says, after Ended, that every entry has released the agent.
type AllReleased struct{}

func (AllReleased) action() {}
