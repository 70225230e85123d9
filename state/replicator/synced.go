package replicator

// Synced reports that the disk actions up to Write, inclusive, survive a crash.
type Synced struct {
	Write Write
}

func (Synced) event() {}
