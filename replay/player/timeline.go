package player

import (
	"time"

	"oleandertally/core/container"
)

// timeline is a simulated clock with timers. Timers of equal time run in the order in which they were added.
type timeline struct {
	now    time.Time
	count  int
	timers container.Heap[timer]
}

// timer is a function that runs at a simulated time.
type timer struct {
	at       time.Time
	sequence int
	run      func()
}

// epoch is the simulated time at the start of every trace. Its value is arbitrary.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTimeline() *timeline {
	t := &timeline{now: epoch}
	t.timers.Less = func(a, b timer) bool {
		if !a.at.Equal(b.at) {
			return a.at.Before(b.at)
		}
		return a.sequence < b.sequence
	}
	return t
}

func (t *timeline) at(at time.Time, run func()) {
	if at.Before(t.now) {
		at = t.now
	}
	t.count++
	t.timers.Push(timer{at: at, sequence: t.count, run: run})
}

func (t *timeline) after(delay time.Duration, run func()) { t.at(t.now.Add(delay), run) }

// elapsed returns the time since the start of the trace.
func (t *timeline) elapsed() time.Duration { return t.now.Sub(epoch) }

func (t *timeline) play() {
	for {
		next, ok := t.timers.Pop()
		if !ok {
			return
		}
		t.now = next.at
		next.run()
	}
}
