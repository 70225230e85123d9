package leaserunner

import (
	"oleandertally/agent/leaseholder"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
)

// action is an output of the lease holder, or the channel of a waiting Leave to close.
type action struct {
	control leaseholder.Action
	outbox  *looper.Outbox[*encoder.QueueReport] // outbox of the current stream; nil without one
	idle    chan<- struct{}                      // closed to let a waiting Leave return
}
