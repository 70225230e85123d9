package coordinator

import "oleandertally/core/specifier"

// AgentDisconnected reports that the stream to an agent ended. The state of its tasks is unknown
// until the agent reconnects or is recorded as Down.
type AgentDisconnected struct {
	Agent specifier.Identity
}

func (AgentDisconnected) event() {}
