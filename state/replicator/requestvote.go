package replicator

// RequestVote requests a vote in the term of the envelope.
type RequestVote struct {
	PreVote   bool // asks only whether the vote would be granted; neither side changes its term
	Transfer  bool // the previous leader gave up its lease and transferred the leadership to this candidate
	LastIndex Index
	LastTerm  Term
}

func (RequestVote) message() {}
