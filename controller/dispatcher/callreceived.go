package dispatcher

import "oleandertally/core/specifier"

// CallReceived carries a call of an entry. Sequence numbers the calls of a stream.
type CallReceived struct {
	Stream   Stream
	Sequence uint64
	Call     specifier.QueueCall
}
