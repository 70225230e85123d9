package leaseholder

// Leave asks the agent to take no more starts.
type Leave struct{}
