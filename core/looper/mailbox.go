package looper

import "context"

// Mailbox is the bounded queue of events for a control goroutine. Traffic goroutines block while
// it is full, which exerts back-pressure on their connections.
type Mailbox[E any] struct {
	events chan E
}

// NewMailbox returns a mailbox with a capacity of size events.
func NewMailbox[E any](size int) *Mailbox[E] {
	return &Mailbox[E]{events: make(chan E, size)}
}

// Send delivers event, or returns the context's error once ctx ends.
func (m *Mailbox[E]) Send(ctx context.Context, event E) error {
	select {
	case m.events <- event:
		return nil
	default:
	}
	select {
	case m.events <- event:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Receive returns the next event, or the context's error once ctx ends.
func (m *Mailbox[E]) Receive(ctx context.Context) (E, error) {
	select {
	case event := <-m.events:
		return event, nil
	case <-ctx.Done():
		var zero E
		return zero, context.Cause(ctx)
	}
}
