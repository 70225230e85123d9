package specifier

// Outcome is the kind of a job's answer.
type Outcome string

const (
	// Complete means that every task ran and its result is in the answer.
	Complete Outcome = "Complete"
	// Failed means that no results are available; Answer.MayHaveRun reports whether a task may have run.
	Failed Outcome = "Failed"
	// NotRun means that no task of the job started and none will.
	NotRun Outcome = "NotRun"
)
