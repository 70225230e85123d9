package coordinator

import "oleandertally/core/specifier"

// AgentUnlinked reports that the stream to an agent ended. Nothing is known of its tasks
// until it is linked again or recorded as Down.
type AgentUnlinked struct {
	Agent specifier.Identity
}

func (AgentUnlinked) event() {}
