package executor

import "oleandertally/core/specifier"

// RequestRelease tells an entry that no task is queued or running on this agent, and asks for Released. It follows
// every result that was sent to the entry.
type RequestRelease struct {
	Entry specifier.Identity
	Load  specifier.Load
}

func (RequestRelease) action() {}
