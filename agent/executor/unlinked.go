package executor

import "oleandertally/core/specifier"

// Unlinked reports that a stream from an entry ended.
type Unlinked struct {
	Entry specifier.Identity
	Link  uint64
}

func (Unlinked) event() {}
