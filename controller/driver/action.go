package driver

import (
	"oleandertally/controller/sequencer"
	"oleandertally/state/registrar"
	"oleandertally/state/replicator"
)

// Action is an output of the log, of the sequencer, or the answer to a request to join: exactly one is set.
type Action struct {
	Log     replicator.Action
	Control sequencer.Action
	Joined  *JoinAnswered
	// Image is the state to save, with SaveSnapshot in Log.
	Image *registrar.Image
}
