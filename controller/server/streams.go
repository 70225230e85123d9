package server

import (
	"sync"

	"oleandertally/core/looper"
)

// streams holds the outbox of each open stream, by the number under which the control goroutine knows the stream. The
// stream's sending goroutine empties the outbox.
type streams[K comparable, T any] struct {
	mutex sync.Mutex
	boxes map[K]*looper.Outbox[T]
}

func (s *streams[K, T]) open(id K) *looper.Outbox[T] {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.boxes == nil {
		s.boxes = make(map[K]*looper.Outbox[T])
	}
	box := looper.NewOutbox[T]()
	s.boxes[id] = box
	return box
}

func (s *streams[K, T]) close(id K) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.boxes, id)
}

// put queues item for the stream, if it is still open.
func (s *streams[K, T]) put(id K, item T) {
	s.mutex.Lock()
	box := s.boxes[id]
	s.mutex.Unlock()
	if box != nil {
		box.Put(item)
	}
}

// broadcast queues item for every open stream.
func (s *streams[K, T]) broadcast(item T) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, box := range s.boxes {
		box.Put(item)
	}
}
