package requester

import (
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
)

// action is a message for the stream to the leading controller, or the outcome of a call.
type action struct {
	box      *looper.Outbox[*encoder.QueueCalls]
	message  *encoder.QueueCalls
	answered chan<- answer
	answer   answer
}
