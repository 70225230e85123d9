package connector

import (
	"context"

	"oleandertally/core/looper"
	"oleandertally/entry/coordinator"
)

// Sink takes the events of the coordinator.
type Sink = looper.Mailbox[coordinator.Event]

// deliver sends events in order and stops at the first that ctx cuts off.
func deliver(ctx context.Context, sink *Sink, events ...coordinator.Event) error {
	for _, event := range events {
		if err := sink.Send(ctx, event); err != nil {
			return err
		}
	}
	return nil
}
