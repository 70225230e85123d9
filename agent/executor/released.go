package executor

import "oleandertally/core/specifier"

// Released is an entry's answer to RequestRelease: it counts on nothing more from this agent.
type Released struct {
	Entry specifier.Identity
	Stream  uint64
}

func (Released) event() {}
