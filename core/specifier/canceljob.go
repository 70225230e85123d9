package specifier

// CancelJob cancels a submission that no entry owns: one that is unknown or released is
// recorded as NotRun, so that a submission that arrives late does not run. A job with an
// owner is cancelled by that owner; the decision names it. The record of an unknown job is kept for
// MaxTimeLeft + KeyRetention, because its deadline is not known.
type CancelJob struct {
	Job JobID
}

func (CancelJob) command() {}
