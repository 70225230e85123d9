package coordinator

import "oleandertally/core/specifier"

// ReleaseAgent notifies a leaving agent that this entry awaits no task or report from it.
type ReleaseAgent struct {
	Agent specifier.Identity
}

func (ReleaseAgent) action() {}
