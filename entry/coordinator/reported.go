package coordinator

import "oleandertally/core/specifier"

// Reported is an agent's record of a job, the answer to Fence.
type Reported struct {
	Agent specifier.Identity
	Job   specifier.JobID
	Epoch specifier.Epoch
	Tasks []specifier.TaskReport
}

func (Reported) event() {}
