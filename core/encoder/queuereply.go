package encoder

import (
	"time"

	"oleandertally/core/specifier"
)

// countedBit marks a reply whose Pending is the answer, beside the result.
const countedBit = 1 << 16

// EncodeQueueReply returns the message of one reply.
func EncodeQueueReply(sequence uint64, reply specifier.QueueReply) *QueueReply {
	result := uint32(reply.Result)
	if reply.HasPending {
		result |= countedBit
	}
	return &QueueReply{Sequence: sequence, Result: result, State: uint32(reply.State), Pending: uint64(reply.Pending),
		RetryAfter: int64(reply.RetryAfter), Document: reply.Document, Detail: reply.Detail}
}

// DecodeQueueReply returns the reply.
func DecodeQueueReply(m *QueueReply) specifier.QueueReply {
	return specifier.QueueReply{Result: specifier.QueueResult(m.Result &^ countedBit), HasPending: m.Result&countedBit != 0,
		State: specifier.QueueState(m.State), Pending: int(m.Pending), RetryAfter: time.Duration(m.RetryAfter), Document: m.Document, Detail: m.Detail}
}
