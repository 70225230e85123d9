package executor

import "oleandertally/core/specifier"

// Greet tells an entry the agent's load on a new stream, so that it need not wait for the first
// result to learn it.
type Greet struct {
	Entry specifier.Identity
	Load  specifier.Load
}

func (Greet) action() {}
