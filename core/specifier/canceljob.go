package specifier

// CancelJob cancels a submission that no entry owns. An unknown or released submission is
// recorded as NotRun, so that it does not run when it arrives later. A job with an owner is
// cancelled by that owner, which the decision names. The record of an unknown job is kept for
// MaxTimeLeft + KeyRetention, because its deadline is not known.
type CancelJob struct {
	Job JobID
}

func (CancelJob) command() {}
