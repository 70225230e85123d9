package replicator

// Snapshot describes a stored snapshot: the state after the entry at Index was applied. The content
// stays with the adapter.
type Snapshot struct {
	Index   Index
	Term    Term     // of the entry at Index
	Servers []Server // in force at Index, sorted by ID
}
