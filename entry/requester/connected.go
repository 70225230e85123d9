package requester

import (
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
)

// connected reports a new stream to the leading controller.
type connected struct {
	outbox *looper.Outbox[*encoder.QueueCalls]
}
