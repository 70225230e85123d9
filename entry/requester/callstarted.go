package requester

import (
	"time"

	"oleandertally/core/specifier"
)

// callStarted reports a new call.
type callStarted struct {
	call     specifier.QueueCall
	deadline time.Time
	replyTo  chan<- answer
}
