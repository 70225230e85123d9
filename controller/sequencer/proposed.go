package sequencer

import "oleandertally/core/specifier"

// Proposed is a command that a stream asks for. Sequence comes back with its decision.
type Proposed struct {
	Stream   Stream
	Sequence uint64
	Command  specifier.Command
}

func (Proposed) event() {}
