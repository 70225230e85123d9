package executor

import "oleandertally/core/specifier"

// RunEnded reports the end of a call to the upstream.
type RunEnded struct {
	Key        specifier.TaskKey
	NotStarted bool // no byte reached the upstream
	Broken     bool // the upstream reported a failure, or the call broke
	Body       []byte
	Detail     string
}

func (RunEnded) event() {}
