package requester

import (
	"time"

	"oleandertally/core/specifier"
)

// pending is a call without a reply.
type pending struct {
	sequence     uint64
	call         specifier.QueueCall
	startedAt    time.Time
	deadline     time.Time
	replyTo      chan<- answer
	sent         bool      // the call was sent at least once, on this stream or an earlier one
	maybeHandled bool      // a stream ended while the call was in flight, so a controller may have handled it
	inFlight     bool      // sent on the current stream and not answered
	retryAt      time.Time // when to resend the call after a controller could not handle it; zero if not scheduled
}
