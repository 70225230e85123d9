package sequencer

import "oleandertally/core/specifier"

// Rejected reports that a submitted batch is not in the log and never will be.
type Rejected struct {
	Ticket  Ticket
	Verdict specifier.Verdict // NotLeader or Full
}

func (Rejected) event() {}
