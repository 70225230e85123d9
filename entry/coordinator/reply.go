package coordinator

import "oleandertally/core/specifier"

// Reply answers one waiter.
type Reply struct {
	Waiter   Waiter
	Job      specifier.JobID
	NotOwner bool // set only in replies to another entry: this entry does not own the job
	Answer   specifier.Answer
}

func (Reply) action() {}
