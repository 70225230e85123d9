package server

import (
	"context"
	"sync"

	"oleandertally/controller/driver"
	"oleandertally/core/looper"
)

// pendingCalls matches requests from the network with the answers of the control loop, by a ticket number.
type pendingCalls[T any] struct {
	mailbox *looper.Mailbox[driver.Event]

	mutex   sync.Mutex
	last    uint64
	waiting map[uint64]chan T
}

// ask sends the event that request makes for a new ticket and waits for the answer. Its error is that of ctx.
func (c *pendingCalls[T]) ask(ctx context.Context, request func(ticket uint64) driver.Event) (T, error) {
	ticket, answered := c.open()
	defer c.close(ticket)
	var none T
	if err := c.mailbox.Send(ctx, request(ticket)); err != nil {
		return none, err
	}
	select {
	case answer := <-answered:
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (c *pendingCalls[T]) open() (uint64, <-chan T) {
	answered := make(chan T, 1)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.waiting == nil {
		c.waiting = make(map[uint64]chan T)
	}
	c.last++
	c.waiting[c.last] = answered
	return c.last, answered
}

func (c *pendingCalls[T]) close(ticket uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.waiting, ticket)
}

// answer delivers the answer, unless its caller has stopped waiting. It does not block.
func (c *pendingCalls[T]) answer(ticket uint64, answer T) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if waiting := c.waiting[ticket]; waiting != nil {
		waiting <- answer
		delete(c.waiting, ticket)
	}
}
