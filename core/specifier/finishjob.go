package specifier

// FinishJob records the outcome of a submission. Only the owner of Epoch may finish it.
type FinishJob struct {
	Job    JobID
	Owner  Identity
	Epoch  Epoch
	Answer Answer // without Results, which are stored at the agents
}

func (FinishJob) command() {}
