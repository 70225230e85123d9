package sequencer

// change is one changed member, kept so that updates carry only what changed.
type change struct {
	version uint64
	name    string
}
