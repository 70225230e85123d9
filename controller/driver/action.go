package driver

import (
	"oleandertally/controller/sequencer"
	"oleandertally/state/replicator"
)

// Action is an output of the log or of the sequencer: exactly one is set.
type Action struct {
	Log     replicator.Action
	Control sequencer.Action
	// Content is the state to save, with SaveSnapshot in Log, or to store, with Restore.
	Content []byte
}
