package coordinator

import "oleandertally/core/specifier"

// slot is the state of one task of a job that this entry runs.
type slot struct {
	done   bool
	held   specifier.Identity // the agent that was sent the task, until it is done or refused
	result specifier.Result
}
