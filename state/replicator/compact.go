package replicator

// Compact allows the disk to delete the stored entries up to Through, inclusive. It needs no report.
type Compact struct {
	Through Index
}

func (Compact) action() {}
