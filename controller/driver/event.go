package driver

import (
	"oleandertally/controller/sequencer"
	"oleandertally/state/replicator"
)

// Event is an input for the log or for the sequencer: exactly one is set.
type Event struct {
	Log     replicator.Event
	Control sequencer.Event
	// Content is the content of the snapshot that an InstallSnapshot in Log offers.
	Content []byte
}
