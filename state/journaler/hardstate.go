package journaler

import "oleandertally/core/encoder"

// HardState is the election state of a consensus server that must survive a restart.
type HardState struct {
	Term     uint64
	Vote     string // name of the server that got the vote in Term; empty if none did
	VoteDisk uint64 // disk identity of that server
	// Leader is the server that was last voted for or accepted as leader, in LeaderTerm. LeaderTerm is 0 if it is not known.
	Leader     string
	LeaderDisk uint64
	LeaderTerm uint64
}

func (s HardState) encode() *encoder.JournalState {
	return &encoder.JournalState{Term: s.Term, Vote: s.Vote, VoteDisk: s.VoteDisk, Leader: s.Leader, LeaderDisk: s.LeaderDisk, LeaderTerm: s.LeaderTerm}
}

func decodeHardState(m *encoder.JournalState) HardState {
	return HardState{Term: m.GetTerm(), Vote: m.GetVote(), VoteDisk: m.GetVoteDisk(),
		Leader: m.GetLeader(), LeaderDisk: m.GetLeaderDisk(), LeaderTerm: m.GetLeaderTerm()}
}
