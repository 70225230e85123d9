package server

import (
	"context"
	"net/netip"

	"oleandertally/controller/dispatcher"
	"oleandertally/controller/driver"
	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
)

// localSequence is the sequence number of the only call on a stream of this process.
const localSequence = 1

// localCall hands a call of this process to the dispatcher, and returns its reply. Its error is that of ctx.
func (q *queues) localCall(ctx context.Context, call specifier.QueueCall) (specifier.QueueReply, error) {
	id := dispatcher.Stream(q.lastID.Add(1))
	box := q.calls.open(id)
	defer q.calls.close(id)
	defer q.notifyClosed(dispatcher.CallerDisconnected{Stream: id})
	event := dispatcher.CallReceived{Stream: id, Sequence: localSequence, Call: call}
	if err := q.mailbox.Send(ctx, driver.Event{Queue: event}); err != nil {
		return specifier.QueueReply{}, err
	}
	for {
		messages, err := box.Take(ctx)
		if err != nil {
			return specifier.QueueReply{}, err
		}
		for _, message := range messages {
			for _, reply := range message.Items {
				return encoder.DecodeQueueReply(reply), nil
			}
		}
	}
}

// leader returns the leading controller as far as this one knows, or the zero address.
func (q *queues) leader() netip.AddrPort {
	leader, err := netip.ParseAddrPort(q.currentWelcome().Leader)
	if err != nil {
		return netip.AddrPort{} // none is known
	}
	return leader
}
