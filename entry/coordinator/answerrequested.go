package coordinator

import "oleandertally/core/specifier"

// AnswerRequested is another entry's request for the answer of a job that this entry owns.
type AnswerRequested struct {
	Waiter Waiter
	Job    specifier.JobID
	Digest specifier.Digest
	Cancel bool // cancel the job first; Digest is then not compared
}

func (AnswerRequested) event() {}
