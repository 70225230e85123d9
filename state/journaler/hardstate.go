package journaler

import "oleandertally/core/encoder"

// State is the hard state of consensus: what a server must not forget about elections.
type HardState struct {
	Term     uint64
	Vote     string // name of the server voted for in Term; empty when for nobody
	VoteDisk uint64 // disk identity of that server
}

func (s HardState) message() *encoder.JournalState {
	return &encoder.JournalState{Term: s.Term, Vote: s.Vote, VoteDisk: s.VoteDisk}
}

func stateOf(m *encoder.JournalState) HardState {
	return HardState{Term: m.GetTerm(), Vote: m.GetVote(), VoteDisk: m.GetVoteDisk()}
}
