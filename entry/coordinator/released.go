package coordinator

import "oleandertally/core/specifier"

// ReleaseAgent tells an agent that leaves that no task of this entry is held by it.
type ReleaseAgent struct {
	Agent specifier.Identity
}

func (ReleaseAgent) action() {}
