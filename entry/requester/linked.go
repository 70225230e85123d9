package requester

import (
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
)

// linked tells that there is a stream to a leading controller.
type linked struct {
	box *looper.Outbox[*encoder.QueueCalls]
}
