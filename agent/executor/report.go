package executor

import "oleandertally/core/specifier"

// Report answers Fenced with what the agent holds of the job.
type Report struct {
	Entry specifier.Identity
	Job   specifier.JobID
	Epoch specifier.Epoch // the highest known here
	Tasks []specifier.TaskReport
	Load  specifier.Load
}

func (Report) action() {}
