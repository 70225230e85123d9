package coordinator

import "oleandertally/core/specifier"

// Released tells an agent that leaves that no task of this entry is held by it.
type Released struct {
	Agent specifier.Identity
}

func (Released) action() {}
