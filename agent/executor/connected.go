package executor

import "oleandertally/core/specifier"

// Connected reports a new stream from an entry. Messages of the entry's earlier streams are ignored from then on, and
// the entry asks for the results that it missed.
type Connected struct {
	Entry  specifier.Identity
	Stream uint64 // number of the stream, which increases with each one
}

func (Connected) event() {}
