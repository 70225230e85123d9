package executor

import "oleandertally/core/specifier"

// SendLoad sends the agent's load to an entry without a result: on a new stream, so that the entry need not wait for the first
// result to learn it, and later when the load that the entry knows is too far off.
type SendLoad struct {
	Entry specifier.Identity
	Load  specifier.Load
}

func (SendLoad) action() {}
