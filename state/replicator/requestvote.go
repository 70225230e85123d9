package replicator

// RequestVote asks for a vote in the term of the envelope.
type RequestVote struct {
	PreVote   bool // asks only whether the vote would be granted; neither side changes its term
	Transfer  bool // the leader of the previous term gave up its lease for this candidate
	LastIndex Index
	LastTerm  Term
}

func (RequestVote) message() {}
