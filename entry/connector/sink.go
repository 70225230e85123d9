package connector

import (
	"context"

	"oleandertally/core/looper"
	"oleandertally/entry/coordinator"
)

// Sink receives events for the coordinator.
type Sink = looper.Mailbox[coordinator.Event]

// deliver sends events in order. It stops at the first one that is not accepted before ctx ends.
func deliver(ctx context.Context, sink *Sink, events ...coordinator.Event) error {
	for _, event := range events {
		if err := sink.Send(ctx, event); err != nil {
			return err
		}
	}
	return nil
}
