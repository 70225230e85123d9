package player

import (
	"time"

	"oleandertally/core/container"
)

// timeline runs functions at their times; those of one time in the order in which they were added.
type timeline struct {
	now   time.Time
	count int
	heap  container.Heap[moment]
}

// moment is one scheduled function.
type moment struct {
	at     time.Time
	number int
	run    func()
}

// epoch is the start of every trace. Its value has no meaning.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTimeline() *timeline {
	t := &timeline{now: epoch}
	t.heap.Less = func(a, b moment) bool {
		if !a.at.Equal(b.at) {
			return a.at.Before(b.at)
		}
		return a.number < b.number
	}
	return t
}

func (t *timeline) at(at time.Time, run func()) {
	if at.Before(t.now) {
		at = t.now
	}
	t.count++
	t.heap.Push(moment{at: at, number: t.count, run: run})
}

func (t *timeline) after(delay time.Duration, run func()) { t.at(t.now.Add(delay), run) }

// elapsed returns the time since the start of the trace.
func (t *timeline) elapsed() time.Duration { return t.now.Sub(epoch) }

func (t *timeline) play() {
	for {
		next, ok := t.heap.Pop()
		if !ok {
			return
		}
		t.now = next.at
		next.run()
	}
}
