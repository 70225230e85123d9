package replicator

// TimeoutNow tells the receiver to campaign at once. The sender no longer leads.
type TimeoutNow struct{}

func (TimeoutNow) message() {}
