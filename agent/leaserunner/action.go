package leaserunner

import (
	"oleandertally/agent/leaseholder"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
)

// action is an output of the lease holder, or a waiter to release.
type action struct {
	control leaseholder.Action
	box     *looper.Outbox[*encoder.QueueReport]
	idle    chan<- struct{}
}
