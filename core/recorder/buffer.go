package recorder

import (
	"slices"
	"sync"
	"time"

	"oleandertally/core/container"
)

// Buffer keeps the newest events of one process. Fields are set before use; it is safe for
// concurrent use.
type Buffer struct {
	Process string
	Cap     int // events kept
	Clock   func() time.Time

	mutex    sync.Mutex
	ring     container.Ring[Event]
	sequence uint64
}

// Add stamps the event with the process, its sequence number and the time, and keeps it.
func (b *Buffer) Add(event Event) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ring.Cap = b.Cap
	b.sequence++
	event.Process, event.Sequence, event.At = b.Process, b.sequence, b.Clock()
	b.ring.Add(event)
}

// SetProcess changes Process for the events from now on, which are counted from 1 again.
func (b *Buffer) SetProcess(process string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.Process != process {
		b.Process, b.sequence = process, 0
	}
}

// All returns the kept events, oldest first, and how many were dropped.
func (b *Buffer) All() ([]Event, int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ring.All(), b.ring.Dropped()
}

// Select returns the kept events that filter selects, oldest first, and how many events of any
// kind were dropped.
func (b *Buffer) Select(filter Filter) ([]Event, int) {
	all, dropped := b.All()
	return slices.DeleteFunc(all, func(event Event) bool { return !filter.Matches(event) }), dropped
}
