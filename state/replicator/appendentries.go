package replicator

// AppendEntries replicates entries; without entries it is a heartbeat.
type AppendEntries struct {
	Round     uint64 // echoed in the reply, so that the leader knows when the acknowledged message was sent
	PrevIndex Index
	PrevTerm  Term
	Commit    Index
	Entries   []Entry // consecutive, the first at PrevIndex+1
}

func (AppendEntries) message() {}
