package specifier

import "time"

// TakeOverJob asks that Owner replaces the owner of epoch Replaces, which must be recorded as Down.
type TakeOverJob struct {
	Job      JobID
	Digest   Digest
	Owner    Identity
	Replaces Epoch
	Revision Revision
	TimeLeft time.Duration
}

func (TakeOverJob) command() {}
