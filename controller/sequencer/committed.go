package sequencer

import "oleandertally/core/specifier"

// Committed carries the next committed batch of the log.
type Committed struct {
	Index uint64
	Term  uint64
	Batch specifier.Batch
}

func (Committed) event() {}
