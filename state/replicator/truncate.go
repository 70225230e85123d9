package replicator

// Truncate removes the entry at From and all later ones from the stored log.
type Truncate struct {
	Write Write
	From  Index
}

func (Truncate) action() {}
