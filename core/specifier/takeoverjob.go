package specifier

import "time"

// TakeOverJob proposes that Owner replaces the owner of epoch Replaces, which must be recorded as Down.
// A released job is accepted like a new one. A resend gets Accepted with the agents that have departed by then.
type TakeOverJob struct {
	Job      JobID
	Digest   Digest
	Owner    Identity
	Replaces Epoch
	Revision Revision
	TimeLeft time.Duration
}

func (TakeOverJob) command() {}
