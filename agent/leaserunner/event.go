package leaserunner

import (
	"oleandertally/agent/leaseholder"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
)

// event is an input of the agent's control goroutine: for the lease holder, or a change of the stream to the controller.
type event struct {
	control leaseholder.Event
	box     *looper.Outbox[*encoder.QueueReport] // of a new stream
	unlink  bool
	idle    chan<- struct{} // closed once nothing runs any more
}
