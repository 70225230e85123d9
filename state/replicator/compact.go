package replicator

// Compact allows the disk to delete the stored entries up to and including Through. Its completion is not reported.
type Compact struct {
	Through Index
}

func (Compact) action() {}
