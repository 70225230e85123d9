package replicator

// Started is the first event; the node ignores events before it.
type Started struct{}

func (Started) event() {}
