package replicator

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	Data       EntryKind = 1 // Data of a proposal
	Blank      EntryKind = 2 // nothing; each leader commits one before anything else
	Membership EntryKind = 3 // the complete list of servers, in force from when it is appended
)
