package driver

import (
	"oleandertally/controller/dispatcher"
	"oleandertally/controller/sequencer"
	"oleandertally/state/replicator"
)

// Event is an input for the log, for the sequencer, for the queues, or a request of the network: exactly one is set.
type Event struct {
	Log                replicator.Event
	Control            sequencer.Event
	Queue              dispatcher.Event
	Join               *Join
	Read               *Read
	TransferLeadership *TransferLeadership
	Measure            *Measure
	// Content is the content of the snapshot that an InstallSnapshot in Log offers.
	Content []byte
}
