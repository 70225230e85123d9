package replicator

// Snapshot describes a stored snapshot of the state after the entry at Index was applied. The adapter stores the content.
type Snapshot struct {
	Index   Index
	Term    Term     // term of the entry at Index
	Servers []Server // servers in effect at Index, sorted by ID
}
