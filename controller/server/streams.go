package server

import (
	"sync"

	"oleandertally/controller/sequencer"
	"oleandertally/core/mailer"
)

// streams maps open streams to the queues of their sending goroutines.
type streams[T any] struct {
	mutex sync.Mutex
	boxes map[sequencer.Stream]*mailer.Outbox[T]
}

func (s *streams[T]) open(id sequencer.Stream) *mailer.Outbox[T] {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.boxes == nil {
		s.boxes = make(map[sequencer.Stream]*mailer.Outbox[T])
	}
	box := mailer.NewOutbox[T]()
	s.boxes[id] = box
	return box
}

func (s *streams[T]) close(id sequencer.Stream) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.boxes, id)
}

// put queues item for the stream, if it is still open.
func (s *streams[T]) put(id sequencer.Stream, item T) {
	s.mutex.Lock()
	box := s.boxes[id]
	s.mutex.Unlock()
	if box != nil {
		box.Put(item)
	}
}
