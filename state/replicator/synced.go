package replicator

// Synced reports that the disk actions up to and including Write are durable.
type Synced struct {
	Write Write
}

func (Synced) event() {}
