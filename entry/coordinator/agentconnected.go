package coordinator

import "oleandertally/core/specifier"

// AgentConnected reports a new stream to an agent.
type AgentConnected struct {
	Agent specifier.Identity
}

func (AgentConnected) event() {}
