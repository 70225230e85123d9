package driver

import (
	"oleandertally/controller/sequencer"
	"oleandertally/state/registrar"
	"oleandertally/state/replicator"
)

// Action is an output of the log, of the sequencer, or an answer to a request of the network: exactly one is set.
type Action struct {
	Log        replicator.Action
	Control    sequencer.Action
	Joined     *JoinAnswered
	Read       *ReadAnswered
	HandedOver *HandedOver
	Measured   *Measured
	// Batched is how many commands share the log entry that was proposed; 0 when none was.
	Batched int
	// Image is the state to save, with SaveSnapshot in Log.
	Image *registrar.Image
}
