package coordinator

import "oleandertally/core/specifier"

// AgentLeaving reports that an agent has ended all of its tasks and is about to stop. The agent waits for ReleaseAgent.
type AgentLeaving struct {
	Agent specifier.Identity
}

func (AgentLeaving) event() {}
