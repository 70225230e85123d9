package replicator

// AppendReply answers AppendEntries and InstallSnapshot.
type AppendReply struct {
	Round    uint64
	Match    Index // synced on the follower's disk and equal to the leader's log up to here
	Rejected bool  // the follower has no entry at PrevIndex with PrevTerm
	// PrevIndex is what was rejected. Up to Hint, of HintTerm, the follower's log may agree.
	PrevIndex Index
	Hint      Index
	HintTerm  Term
}

func (AppendReply) message() {}
