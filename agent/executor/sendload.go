package executor

import "oleandertally/core/specifier"

// SendLoad sends the agent's load to an entry without a result: on a new stream, so that the entry learns the load before
// the first result, and later when the load that the entry knows is outdated.
type SendLoad struct {
	Entry specifier.Identity
	Load  specifier.Load
}

func (SendLoad) action() {}
