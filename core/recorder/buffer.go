package recorder

import (
	"slices"
	"sync"
	"time"

	"oleandertally/core/container"
)

// Buffer keeps the newest events of one process. Its exported fields are set before use. It is safe for concurrent use.
type Buffer struct {
	Process string
	Cap     int // maximum number of events
	Clock   func() time.Time

	mutex    sync.Mutex
	ring     container.Ring[Event]
	sequence uint64
}

// Add sets the process, the sequence number and the time of event, and stores it.
func (b *Buffer) Add(event Event) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ring.Cap = b.Cap
	b.sequence++
	event.Process, event.Sequence, event.At = b.Process, b.sequence, b.Clock()
	b.ring.Add(event)
}

// SetProcess changes Process for later events. Their sequence numbers start at 1 again.
func (b *Buffer) SetProcess(process string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.Process != process {
		b.Process, b.sequence = process, 0
	}
}

// All returns the stored events, oldest first, and the number of events that were dropped.
func (b *Buffer) All() ([]Event, int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ring.All(), b.ring.Dropped()
}

// Select returns the stored events that filter selects, oldest first, and the number of all events that were dropped.
func (b *Buffer) Select(filter Filter) ([]Event, int) {
	all, dropped := b.All()
	return slices.DeleteFunc(all, func(event Event) bool { return !filter.Matches(event) }), dropped
}
