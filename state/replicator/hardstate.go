package replicator

// HardState is what a server must not forget about elections.
type HardState struct {
	Term Term
	Vote ServerID // whom the server voted for in Term; zero when for nobody
}
