package replicator

// Envelope is a message between two servers. A server ignores what is addressed to another identity, so
// that a new disk does not answer for the lost one.
type Envelope struct {
	From    ServerID
	To      ServerID
	Term    Term // of the sender; in a pre-vote, the term it would campaign for
	Message Message
}
