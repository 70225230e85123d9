package replicator

// HardState is the election state that must survive a restart.
type HardState struct {
	Term Term
	Vote ServerID // the candidate that the server voted for in Term; zero if none
}
