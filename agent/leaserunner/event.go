package leaserunner

import (
	"oleandertally/agent/leaseholder"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
)

// event is an input of the agent's control goroutine: for the lease holder, or a change of the stream to the controller.
type event struct {
	control      leaseholder.Event
	outbox       *looper.Outbox[*encoder.QueueReport] // set for a new stream
	disconnected bool
	idle         chan<- struct{} // set by Leave; closed once the worker is idle
}
