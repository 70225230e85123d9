package driver

import (
	"oleandertally/controller/dispatcher"
	"oleandertally/controller/sequencer"
	"oleandertally/state/replicator"
)

// Event is an event for the log, the sequencer or the dispatcher, or a request from the network. One field is set, and Content
// together with Log.
type Event struct {
	Log                replicator.Event
	Control            sequencer.Event
	Queue              dispatcher.Event
	Join               *Join
	Read               *Read
	TransferLeadership *TransferLeadership
	Measure            *Measure
	// Content is the content of the snapshot when Log is a received InstallSnapshot.
	Content []byte
}
