package executor

import "oleandertally/core/specifier"

// RequestRelease tells an entry that nothing runs or waits here, after every result that it was sent, and
// asks for Released.
type RequestRelease struct {
	Entry specifier.Identity
	Load  specifier.Load
}

func (RequestRelease) action() {}
