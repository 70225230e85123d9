package listener

import (
	"sync"

	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
)

// Streams holds the outbox of each entry's current stream. It is safe for concurrent use.
type Streams struct {
	mutex sync.Mutex
	last  uint64
	open  map[specifier.Identity]entryStream
}

// entryStream is the current stream of one entry.
type entryStream struct {
	number uint64
	outbox *looper.Outbox[*encoder.AgentMessage]
}

// Open replaces the entry's stream and returns the number of the new one.
func (s *Streams) Open(entry specifier.Identity) (uint64, *looper.Outbox[*encoder.AgentMessage]) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.open == nil {
		s.open = make(map[specifier.Identity]entryStream)
	}
	s.last++
	opened := entryStream{number: s.last, outbox: looper.NewOutbox[*encoder.AgentMessage]()}
	s.open[entry] = opened
	return opened.number, opened.outbox
}

// Close removes a stream, unless a newer one has replaced it.
func (s *Streams) Close(entry specifier.Identity, stream uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.open[entry].number == stream {
		delete(s.open, entry)
	}
}

// Put queues a message for an entry. The message is dropped while the entry has no stream: the entry asks
// for the agent's records when it opens one.
func (s *Streams) Put(entry specifier.Identity, message *encoder.AgentMessage) {
	s.mutex.Lock()
	outbox := s.open[entry].outbox
	s.mutex.Unlock()
	if outbox != nil {
		outbox.Put(message)
	}
}

// PutAll queues a message for every entry.
func (s *Streams) PutAll(message *encoder.AgentMessage) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, opened := range s.open {
		opened.outbox.Put(message)
	}
}
