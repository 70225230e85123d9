package driver

import (
	"oleandertally/controller/sequencer"
	"oleandertally/state/replicator"
)

// Event is an input for the log, for the sequencer, or a request to join: exactly one is set.
type Event struct {
	Log     replicator.Event
	Control sequencer.Event
	Join    *Join
	// Content is the content of the snapshot that an InstallSnapshot in Log offers.
	Content []byte
}
