package coordinator

import "oleandertally/core/specifier"

// ReportReceived is an agent's record of a job, sent in answer to Fence.
type ReportReceived struct {
	Agent specifier.Identity
	Job   specifier.JobID
	Epoch specifier.Epoch
	Tasks []specifier.TaskReport
	Mark  uint64 // number of the fence that this report answers
}

func (ReportReceived) event() {}
