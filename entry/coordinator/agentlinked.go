package coordinator

import "oleandertally/core/specifier"

// AgentLinked reports a new stream to an agent.
type AgentLinked struct {
	Agent specifier.Identity
}

func (AgentLinked) event() {}
