package server

import (
	"sync"

	"oleandertally/core/looper"
)

// streams maps open streams, by the number that the control goroutine knows, to the queues of their sending goroutines.
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

// all queues item for every open stream.
func (s *streams[K, T]) all(item T) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, box := range s.boxes {
		box.Put(item)
	}
}
