package executor

// AllReleased reports, after WorkFinished, that every entry has released the agent.
type AllReleased struct{}

func (AllReleased) action() {}
