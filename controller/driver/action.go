package driver

import (
	"oleandertally/controller/dispatcher"
	"oleandertally/controller/sequencer"
	"oleandertally/state/replicator"
)

// Action is an action of the log, the sequencer or the dispatcher, an answer to a request from the network, or the size of a
// proposed batch. One field is set, and Image together with Log.
type Action struct {
	Log                   replicator.Action
	Control               sequencer.Action
	Queue                 dispatcher.Action
	Joined                *JoinAnswered
	Read                  *ReadAnswered
	LeadershipTransferred *LeadershipTransferred
	Measured              *Measured
	// Batched is how many commands share the log entry that was proposed; 0 if none was proposed.
	Batched int
	// Image is the state to save when Log is SaveSnapshot.
	Image *Image
}
