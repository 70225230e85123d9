package driver

import (
	"oleandertally/controller/dispatcher"
	"oleandertally/controller/sequencer"
	"oleandertally/state/replicator"
)

// Action is an output of the log, of the sequencer, of the queues, or an answer to a request of the network: exactly one is set.
type Action struct {
	Log                   replicator.Action
	Control               sequencer.Action
	Queue                 dispatcher.Action
	Joined                *JoinAnswered
	Read                  *ReadAnswered
	LeadershipTransferred *LeadershipTransferred
	Measured              *Measured
	// Batched is how many commands share the log entry that was proposed; 0 when none was.
	Batched int
	// Image is the state to save, with SaveSnapshot in Log.
	Image *Image
}
