package specifier

import "time"

// AcceptJob proposes Owner as the owner of a new submission. The command is idempotent for the same
// owner, so that a proposal whose decision was lost can be sent again. An owner that took the job
// over gets Attached with itself as the owner: it proposes TakeOverJob again, because it must fence first.
type AcceptJob struct {
	Job       JobID
	Digest    Digest
	Owner     Identity
	TaskCount int
	Revision  Revision      // revision of the configuration that the owner uses
	TimeLeft  time.Duration // time until the job's deadline, at the time of the proposal
}

func (AcceptJob) command() {}
