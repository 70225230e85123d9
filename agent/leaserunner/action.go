package leaserunner

import (
	"oleandertally/agent/leaseholder"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
)

// action is an output of the lease holder, or the channel of a waiting Leave to close.
type action struct {
	control leaseholder.Action
	outbox  *looper.Outbox[*encoder.QueueReport] // of the current stream; nil while there is none
	idle    chan<- struct{}                      // closed to let a waiting Leave return
}
