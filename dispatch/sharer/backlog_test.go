package sharer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// epoch is the beginning of a step.
var epoch = time.Unix(1000, 0)

func after(milliseconds int) time.Time {
	return epoch.Add(time.Duration(milliseconds) * time.Millisecond)
}

func mustBacklog(t *testing.T, b *Backlog, want float64, now, start int) {
	t.Helper()
	must.InDelta(t, want, b.Before(after(now), after(start)), 1e-9)
}

func mustDisplaced(t *testing.T, b *Backlog, want float64, now, start int, work float64) {
	t.Helper()
	must.InDelta(t, want, b.Displaced(after(now), after(start), work, 10), 1e-9)
}

func TestBacklog(t *testing.T) {
	t.Run("work that starts later is not before", func(t *testing.T) {
		b := &Backlog{}
		b.Add(epoch, after(50), 3)
		b.Add(epoch, after(200), 4)
		mustBacklog(t, b, 3, 0, 100)
		mustBacklog(t, b, 7, 0, 200)
	})
	t.Run("work that should have started is before all", func(t *testing.T) {
		b := &Backlog{}
		place := b.Add(epoch, after(50), 3)
		mustBacklog(t, b, 3, 400, 420)
		b.Remove(after(400), place, 3)
		mustBacklog(t, b, 0, 400, 420)
	})
	t.Run("work with much time is never before", func(t *testing.T) {
		// Guards against work of long jobs that is counted in the place of an earlier time.
		b := &Backlog{}
		place := b.Add(epoch, after(60_000), 3)
		mustBacklog(t, b, 0, 0, 2_500)
		b.Remove(after(59_000), place, 3)
		mustBacklog(t, b, 0, 59_000, 60_000)
	})
	t.Run("work behind is displaced by as much as there is no time for", func(t *testing.T) {
		b := &Backlog{}
		b.Add(epoch, after(99), 0.8) // ten slots do one core-second until then
		mustDisplaced(t, b, 0, 0, 50, 0.2)
		mustDisplaced(t, b, 0.1, 0, 50, 0.3)
		mustDisplaced(t, b, 0.8, 0, 50, 5)
	})
	t.Run("work before is not displaced", func(t *testing.T) {
		b := &Backlog{}
		b.Add(epoch, after(40), 9)
		mustDisplaced(t, b, 0, 0, 50, 9)
	})
}

// Guards against sums that drift from the waiting work as time passes and work is removed, which would refuse jobs for ever.
func TestBacklogKeepsItsSums(t *testing.T) {
	type piece struct {
		place BacklogPlace
		start int
	}
	rapid.Check(t, func(t *rapid.T) {
		b, now, pieces := &Backlog{}, 0, []piece{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += rapid.IntRange(0, 900).Draw(t, "passed")
			if len(pieces) > 0 && rapid.Bool().Draw(t, "remove") {
				b.Remove(after(now), pieces[0].place, 1)
				pieces = pieces[1:]
				continue
			}
			start := now + rapid.IntRange(0, 2_000).Draw(t, "start")
			pieces = append(pieces, piece{place: b.Add(after(now), after(start), 1), start: start})
		}
		asked := now + rapid.IntRange(0, 2_000).Draw(t, "asked")
		want := 0.0
		for _, each := range pieces {
			if each.start/10 <= asked/10 {
				want++
			}
		}
		if got := b.Before(after(now), after(asked)); got != want {
			t.Fatalf("before %d: got %v, expected %v", asked, got, want)
		}
	})
}
