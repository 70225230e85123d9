package executor

import "oleandertally/core/specifier"

// Disconnected reports that a stream from an entry ended.
type Disconnected struct {
	Entry  specifier.Identity
	Stream uint64
}

func (Disconnected) event() {}
