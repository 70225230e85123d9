package replicator

// Started is the first event; earlier ones are ignored.
type Started struct{}

func (Started) event() {}
