package coordinator

import "oleandertally/core/specifier"

// jobTask is the state of one task of a job that this entry runs.
type jobTask struct {
	done   bool
	agent  specifier.Identity // agent to which the task was sent, until the task is done or refused
	mark   uint64             // number of the assignment among all assignments and fences
	result specifier.Result
}
