package specifier

import "time"

// AcceptJob asks that Owner becomes the owner of a new submission. It is idempotent for the
// same owner, so a proposal whose decision was lost is sent again. An owner that took the job
// over is Attached to itself: it proposes TakeOverJob again, because it must fence first.
type AcceptJob struct {
	Job       JobID
	Digest    Digest
	Owner     Identity
	TaskCount int
	Revision  Revision      // of the configuration that the owner acts under
	TimeLeft  time.Duration // until the job's deadline, when proposed
}

func (AcceptJob) command() {}
