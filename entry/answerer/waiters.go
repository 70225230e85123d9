package answerer

import (
	"sync"

	"oleandertally/entry/coordinator"
)

// Waiters maps the coordinator's waiters to the channels on which goroutines wait for replies.
type Waiters struct {
	mutex      sync.Mutex
	lastWaiter coordinator.Waiter
	open       map[coordinator.Waiter]chan coordinator.Reply
}

// Open returns a new waiter and the channel that receives its reply.
func (w *Waiters) Open() (coordinator.Waiter, <-chan coordinator.Reply) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.open == nil {
		w.open = make(map[coordinator.Waiter]chan coordinator.Reply)
	}
	w.lastWaiter++
	reply := make(chan coordinator.Reply, 1)
	w.open[w.lastWaiter] = reply
	return w.lastWaiter, reply
}

// Close removes a waiter.
func (w *Waiters) Close(waiter coordinator.Waiter) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.open, waiter)
}

// Deliver sends a reply to its waiter, unless the waiter was closed. It does not block.
func (w *Waiters) Deliver(reply coordinator.Reply) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if waiting := w.open[reply.Waiter]; waiting != nil {
		waiting <- reply
		delete(w.open, reply.Waiter)
	}
}

// Len returns the number of requests that wait for a reply.
func (w *Waiters) Len() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.open)
}
