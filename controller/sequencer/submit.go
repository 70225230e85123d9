package sequencer

import "oleandertally/core/specifier"

// Submit gives a batch to the log.
type Submit struct {
	Ticket Ticket
	Batch  specifier.Batch
}

func (Submit) action() {}
