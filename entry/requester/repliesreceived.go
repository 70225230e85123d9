package requester

import (
	"oleandertally/core/encoder"
)

// repliesReceived carries a message of the controller.
type repliesReceived struct{ replies *encoder.QueueReplies }
