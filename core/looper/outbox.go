package looper

import (
	"context"
	"sync"
)

// Outbox is a queue from a control goroutine to one traffic goroutine. It has no bound of its own, and
// Put never blocks: the work that the control state admits limits its length.
type Outbox[T any] struct {
	mutex sync.Mutex
	items []T
	ready chan struct{}
}

// NewOutbox returns an empty outbox.
func NewOutbox[T any]() *Outbox[T] { return &Outbox[T]{ready: make(chan struct{}, 1)} }

// Put appends item.
func (o *Outbox[T]) Put(item T) {
	o.mutex.Lock()
	o.items = append(o.items, item)
	o.mutex.Unlock()
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// Take waits until the outbox is not empty and returns all items, oldest first.
func (o *Outbox[T]) Take(ctx context.Context) ([]T, error) {
	for {
		o.mutex.Lock()
		items := o.items
		o.items = nil
		o.mutex.Unlock()
		if len(items) > 0 {
			return items, nil
		}
		select {
		case <-o.ready:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}
