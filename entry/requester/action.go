package requester

import (
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
)

// action is a message to the leading controller, or, when replyTo is set, the outcome of a call.
type action struct {
	outbox  *looper.Outbox[*encoder.QueueCalls]
	message *encoder.QueueCalls
	replyTo chan<- answer
	answer  answer
}
