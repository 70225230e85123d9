package replicator

// Recovered is what the data folder held at the start; the zero value is an empty disk. The adapter has loaded
// the state from the snapshot. Entries are consecutive; those that the snapshot covers are ignored.
type Recovered struct {
	State    HardState
	Snapshot Snapshot
	Entries  []Entry
}
