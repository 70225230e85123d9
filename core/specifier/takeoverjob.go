package specifier

import "time"

// TakeOverJob asks that Owner replaces the owner of epoch Replaces, which must be recorded as Down.
// A job that was released is accepted anew. A resend gets Accepted with the agents that departed until then.
type TakeOverJob struct {
	Job      JobID
	Digest   Digest
	Owner    Identity
	Replaces Epoch
	Revision Revision
	TimeLeft time.Duration
}

func (TakeOverJob) command() {}
