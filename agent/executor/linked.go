package executor

import "oleandertally/core/specifier"

// Linked reports a new stream from an entry. Messages of the entry's earlier streams that
// are still under way are ignored from now on, and the entry asks for what it missed.
type Linked struct {
	Entry specifier.Identity
	Link  uint64 // grows with each stream
}

func (Linked) event() {}
