package specifier

// LookupJob asks whether a submission is recorded, and changes nothing. An entry asks before
// it refuses a job, because an earlier submission under the same key may have run.
type LookupJob struct {
	Job    JobID
	Digest Digest
}

func (LookupJob) command() {}
