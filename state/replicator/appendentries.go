package replicator

// AppendEntries replicates entries; without entries it is a heartbeat.
type AppendEntries struct {
	Round     uint64 // returned by the reply; tells the leader when the message it answers was sent
	PrevIndex Index
	PrevTerm  Term
	Commit    Index
	Entries   []Entry // consecutive, the first at PrevIndex+1
}

func (AppendEntries) message() {}
