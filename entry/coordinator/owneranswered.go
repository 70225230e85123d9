package coordinator

import "oleandertally/core/specifier"

// OwnerAnswered is the answer of the entry that owns a job, the answer to AskOwner.
type OwnerAnswered struct {
	Job         specifier.JobID
	Owner       specifier.Identity
	Unavailable bool // the owner can't be reached or does not know the job
	Answer      specifier.Answer
}

func (OwnerAnswered) event() {}
