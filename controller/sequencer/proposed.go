package sequencer

import "oleandertally/core/specifier"

// Proposed carries a command that arrived on a stream. The command's Decide carries the same Sequence.
type Proposed struct {
	Stream   Stream
	Sequence uint64
	Command  specifier.Command
}

func (Proposed) event() {}
