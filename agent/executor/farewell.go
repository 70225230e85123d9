package executor

import "oleandertally/core/specifier"

// Farewell tells an entry that nothing is left here, after every result that it was sent.
type Farewell struct {
	Entry specifier.Identity
	Load  specifier.Load
}

func (Farewell) action() {}
