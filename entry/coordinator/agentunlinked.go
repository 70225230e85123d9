package coordinator

import "oleandertally/core/specifier"

// AgentDisconnected reports that the stream to an agent ended. Nothing is known of its tasks
// until it is linked again or recorded as Down.
type AgentDisconnected struct {
	Agent specifier.Identity
}

func (AgentDisconnected) event() {}
