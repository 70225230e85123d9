package coordinator

import "oleandertally/core/specifier"

// ReportReceived is an agent's record of a job, the answer to Fence.
type ReportReceived struct {
	Agent specifier.Identity
	Job   specifier.JobID
	Epoch specifier.Epoch
	Tasks []specifier.TaskReport
	Mark  uint64 // of the Fence that it answers
}

func (ReportReceived) event() {}
