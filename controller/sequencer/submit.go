package sequencer

import "oleandertally/core/specifier"

// Submit proposes a batch to the log.
type Submit struct {
	Ticket Ticket
	Batch  specifier.Batch
}

func (Submit) action() {}
