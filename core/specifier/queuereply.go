package specifier

import "time"

// QueueReply answers a QueueCall.
type QueueReply struct {
	Result     QueueResult
	State      QueueState
	Pending    int
	HasPending bool          // Pending is the answer
	RetryAfter time.Duration // with Refused: when to come back
	Document   []byte        // of the manifest in force
	Detail     string        // for people
}
