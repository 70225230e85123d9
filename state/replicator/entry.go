package replicator

// Entry is one position of the log. It is immutable: the log, disk writes and messages share it.
type Entry struct {
	Index   Index
	Term    Term
	Kind    EntryKind
	Data    []byte   // opaque, for Data only
	Servers []Server // sorted by ID, for Membership only
}

// size is what the entry adds to a message, in bytes; it is an estimate that bounds messages.
func (e Entry) size() int { return len(e.Data) + 64*len(e.Servers) + entryOverhead }

// entryOverhead is an upper bound of the encoded index, term and kind with their tags and lengths.
const entryOverhead = 32
