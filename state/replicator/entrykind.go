package replicator

// EntryKind is the kind of content of an entry.
type EntryKind uint8

// The kinds of entries.
const (
	Data       EntryKind = 1 // the data of a proposal
	Blank      EntryKind = 2 // no content; the first entry that each leader commits in its term
	Membership EntryKind = 3 // the complete list of servers, in effect as soon as it is appended
)
