package coordinator

import "oleandertally/core/specifier"

// Awaited is another entry's request for the answer of a job that this entry owns.
type Awaited struct {
	Waiter Waiter
	Job    specifier.JobID
	Digest specifier.Digest
	Cancel bool // cancel the job first; Digest is then not compared
}

func (Awaited) event() {}
