package replicator

// AppendReply answers AppendEntries and InstallSnapshot.
type AppendReply struct {
	Round    uint64
	Match    Index // last entry that is synced on the follower's disk and equal to the leader's
	Rejected bool  // the follower has no entry at PrevIndex with the term PrevTerm
	// PrevIndex is copied from the rejected message.
	PrevIndex Index
	// Hint is the last index, HintTerm its term, at which the follower's log may still match the leader's.
	Hint     Index
	HintTerm Term
}

func (AppendReply) message() {}
