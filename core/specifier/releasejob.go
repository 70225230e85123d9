package specifier

// ReleaseJob records that no task of the submission has started and none will under Epoch, so
// that its key may be submitted again. The next owner gets a higher epoch.
type ReleaseJob struct {
	Job   JobID
	Owner Identity
	Epoch Epoch
}

func (ReleaseJob) command() {}
