package coordinator

import "oleandertally/core/specifier"

// AgentLeaving says that an agent has ended everything and waits until this entry counts on nothing
// from it.
type AgentLeaving struct {
	Agent specifier.Identity
}

func (AgentLeaving) event() {}
