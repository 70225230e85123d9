package replicator

// VoteReply answers RequestVote. The envelope's term is the requested one when the vote is granted.
type VoteReply struct {
	PreVote bool
	Granted bool
}

func (VoteReply) message() {}
