package replicator

// VoteReply answers RequestVote. The envelope's term is the requested one when the vote is granted.
type VoteReply struct {
	PreVote bool
	Granted bool
	// Replaced means that the sender runs under the name of the addressed server but with another disk. A name has one process at a
	// time, so the addressed server leads no more.
	Replaced bool
	// ReplacedDisk is the disk of the addressed server. A late answer about an earlier identity says nothing about the present one.
	ReplacedDisk uint64
}

func (VoteReply) message() {}
