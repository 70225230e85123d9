package encoder

import (
	"time"

	"oleandertally/core/specifier"
)

// hasPendingBit is set in the encoded result of a reply with HasPending.
const hasPendingBit = 1 << 16

// EncodeQueueReply returns the message of one reply.
func EncodeQueueReply(sequence uint64, reply specifier.QueueReply) *QueueReply {
	result := uint32(reply.Result)
	if reply.HasPending {
		result |= hasPendingBit
	}
	return &QueueReply{Sequence: sequence, Result: result, State: uint32(reply.State), Pending: uint64(reply.Pending),
		RetryAfter: int64(reply.RetryAfter), Document: reply.Document, Detail: reply.Detail}
}

// DecodeQueueReply returns the reply.
func DecodeQueueReply(m *QueueReply) specifier.QueueReply {
	return specifier.QueueReply{Result: specifier.QueueResult(m.Result &^ hasPendingBit), HasPending: m.Result&hasPendingBit != 0,
		State: specifier.QueueState(m.State), Pending: int(m.Pending), RetryAfter: time.Duration(m.RetryAfter), Document: m.Document, Detail: m.Detail}
}
