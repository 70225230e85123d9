package specifier

import "time"

// QueueReply answers a QueueCall.
type QueueReply struct {
	Result     QueueResult
	State      QueueState
	Pending    int
	HasPending bool          // the call asked for Pending
	RetryAfter time.Duration // with QueueRefused: when to try again
	Document   []byte        // document of the manifest in force
	Detail     string        // for people
}
