package executor

import "oleandertally/core/specifier"

// Report answers Fenced with the agent's records of the job's tasks.
type Report struct {
	Entry specifier.Identity
	Job   specifier.JobID
	Epoch specifier.Epoch // highest epoch known to the agent
	Tasks []specifier.TaskReport
	Mark  uint64 // from the Fenced event
	Load  specifier.Load
}

func (Report) action() {}
