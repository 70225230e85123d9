package executor

import "oleandertally/core/specifier"

// SendLoad tells an entry the agent's load on a new stream, so that it need not wait for the first
// result to learn it.
type SendLoad struct {
	Entry specifier.Identity
	Load  specifier.Load
}

func (SendLoad) action() {}
