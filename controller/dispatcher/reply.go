package dispatcher

import "oleandertally/core/specifier"

// Reply answers a call.
type Reply struct {
	Stream   Stream
	Sequence uint64
	Reply    specifier.QueueReply
}
