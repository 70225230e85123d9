package listener

import (
	"sync"

	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
)

// Streams holds the queue of the present stream of each entry. It is safe for concurrent use.
type Streams struct {
	mutex sync.Mutex
	last  uint64
	open  map[specifier.Identity]entryLink
}

// entryLink is the present stream of one entry.
type entryLink struct {
	link uint64
	box  *looper.Outbox[*encoder.AgentMessage]
}

// Open replaces the entry's stream and returns the number of the new one.
func (l *Streams) Open(entry specifier.Identity) (uint64, *looper.Outbox[*encoder.AgentMessage]) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open == nil {
		l.open = make(map[specifier.Identity]entryLink)
	}
	l.last++
	opened := entryLink{link: l.last, box: looper.NewOutbox[*encoder.AgentMessage]()}
	l.open[entry] = opened
	return opened.link, opened.box
}

// Close forgets a stream, unless a newer one has replaced it.
func (l *Streams) Close(entry specifier.Identity, link uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open[entry].link == link {
		delete(l.open, entry)
	}
}

// Put queues a message for an entry. It is dropped while the entry has no stream: the entry asks
// for the agent's record when it opens one.
func (l *Streams) Put(entry specifier.Identity, message *encoder.AgentMessage) {
	l.mutex.Lock()
	box := l.open[entry].box
	l.mutex.Unlock()
	if box != nil {
		box.Put(message)
	}
}

// PutAll queues a message for every entry.
func (l *Streams) PutAll(message *encoder.AgentMessage) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, opened := range l.open {
		opened.box.Put(message)
	}
}
