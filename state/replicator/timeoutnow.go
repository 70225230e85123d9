package replicator

// TimeoutNow tells the receiver to start an election immediately. The sender no longer leads.
type TimeoutNow struct{}

func (TimeoutNow) message() {}
