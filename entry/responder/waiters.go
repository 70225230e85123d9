package responder

import (
	"sync"

	"oleandertally/entry/coordinator"
)

// Waiters maps the coordinator's waiters to the goroutines that wait.
type Waiters struct {
	mutex sync.Mutex
	last  coordinator.Waiter
	open  map[coordinator.Waiter]chan coordinator.Reply
}

// Open returns a new waiter and where its reply comes.
func (w *Waiters) Open() (coordinator.Waiter, <-chan coordinator.Reply) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.open == nil {
		w.open = make(map[coordinator.Waiter]chan coordinator.Reply)
	}
	w.last++
	reply := make(chan coordinator.Reply, 1)
	w.open[w.last] = reply
	return w.last, reply
}

// Close forgets a waiter.
func (w *Waiters) Close(waiter coordinator.Waiter) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.open, waiter)
}

// Deliver hands a reply to its waiter, if it still waits. It does not block.
func (w *Waiters) Deliver(reply coordinator.Reply) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if waiting := w.open[reply.Waiter]; waiting != nil {
		waiting <- reply
		delete(w.open, reply.Waiter)
	}
}

// Len returns how many requests wait.
func (w *Waiters) Len() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.open)
}
