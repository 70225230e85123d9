package executor

import "oleandertally/core/specifier"

// Connected reports a new stream from an entry. Messages of the entry's earlier streams that
// are still under way are ignored from now on, and the entry asks for what it missed.
type Connected struct {
	Entry specifier.Identity
	Stream  uint64 // grows with each stream
}

func (Connected) event() {}
