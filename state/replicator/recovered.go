package replicator

// Recovered is the content of the data folder at the start; the zero value is an empty disk. The adapter has loaded
// the state from the snapshot. Entries are consecutive; entries that the snapshot covers are ignored.
type Recovered struct {
	State    HardState
	Snapshot Snapshot
	Entries  []Entry
}
