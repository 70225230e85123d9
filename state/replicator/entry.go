package replicator

// Entry is an entry of the log. It is immutable because the log, disk writes and messages share it.
type Entry struct {
	Index   Index
	Term    Term
	Kind    EntryKind
	Data    []byte   // opaque; set for the kind Data only
	Servers []Server // sorted by ID; set for the kind Membership only
}

// size estimates how many bytes the entry adds to a message.
func (e Entry) size() int { return len(e.Data) + 64*len(e.Servers) + entryOverhead }

// sizeOf returns the size of all entries.
func sizeOf(entries []Entry) int {
	total := 0
	for _, entry := range entries {
		total += entry.size()
	}
	return total
}

// entryOverhead is the maximum size in bytes of the encoded index, term and kind with their tags and lengths.
const entryOverhead = 32
