package replicator

// Envelope is a message between two servers. A server ignores envelopes addressed to another identity, so that a host
// with a new disk does not answer for the server whose disk was lost.
type Envelope struct {
	From    ServerID
	To      ServerID
	Term    Term // the sender's term; in a pre-vote, the term in which it would campaign
	Message Message
}
