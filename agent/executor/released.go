package executor

import "oleandertally/core/specifier"

// Released is an entry's answer to RequestRelease: the entry expects nothing more from this agent.
type Released struct {
	Entry  specifier.Identity
	Stream uint64
}

func (Released) event() {}
