package sequencer

import "oleandertally/core/specifier"

// Decide answers a proposed command.
type Decide struct {
	Stream   Stream
	Sequence uint64
	Decision specifier.Decision
}

func (Decide) action() {}
