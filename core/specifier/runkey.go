package specifier

// RunKey names one run of one task.
type RunKey struct {
	Task string
	Run  uint64 // increases with each start of the task
}
