package specifier

// TaskKey names one task of one submission.
type TaskKey struct {
	Job  JobID
	Task string
}
