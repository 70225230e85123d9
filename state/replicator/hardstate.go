package replicator

// HardState is the election state that must survive a restart.
type HardState struct {
	Term Term
	Vote ServerID // the candidate that the server voted for in Term; zero if none
	// Leader is the server that this one last voted for or accepted as leader, in LeaderTerm; zero if there was none. No lease of another
	// server relies on this one. LeaderTerm is zero if Leader is not known, as in state that an earlier version wrote.
	Leader     ServerID
	LeaderTerm Term
}

// follow returns the state of a server that votes for leader, or accepts it as leader, in the present term.
func (s HardState) follow(leader ServerID) HardState {
	s.Leader, s.LeaderTerm = leader, s.Term
	return s
}
