package coordinator

import "oleandertally/core/specifier"

// OwnerAnswered is the answer to AskOwner from the entry that owns the job.
type OwnerAnswered struct {
	Job         specifier.JobID
	Owner       specifier.Identity
	Unavailable bool // the owner can't be reached or does not know the job
	Answer      specifier.Answer
}

func (OwnerAnswered) event() {}
