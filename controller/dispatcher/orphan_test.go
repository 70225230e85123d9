package dispatcher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// found lets a new leader find one run that no job claims at its only agent.
func found(b *desk, room specifier.Room) specifier.RunKey {
	key := specifier.RunKey{Task: "gone.0.0.0", Run: 4097}
	b.step(Followed{})
	b.step(Led{Term: 2})
	list := func(report *specifier.LeaseReport) { report.Runs = []specifier.LeasedRun{{Key: key, Room: room}} }
	b.report(1, list)
	b.report(1, list)
	return key
}

// stops returns the runs that the actions stop.
func (b *desk) stops() []specifier.RunKey {
	var keys []specifier.RunKey
	for _, order := range find[Order](b.actions) {
		keys = append(keys, order.Order.Stops...)
	}
	return keys
}

func TestRunsThatNoJobClaims(t *testing.T) {
	t.Run("of unknown room", func(t *testing.T) { // guards against a worker that stands idle beside one run
		b := newDesk(t, 1)
		key := found(b, specifier.Room{})
		b.submit("a", 1, true)
		must.SliceEmpty(t, b.starts())
		b.advance(b.d.Settings.BlockedAfter)
		must.Eq(t, []specifier.RunKey{key}, b.stops())
	})
	t.Run("of known room", func(t *testing.T) { // guards against work that is thrown away before its caller comes back
		b := newDesk(t, 1)
		key := found(b, specifier.Room{MilliCores: 1000, Memory: 1})
		b.submit("a", 1, true)
		must.SliceLen(t, 1, b.starts())
		b.advance(b.d.Settings.BlockedAfter)
		must.SliceEmpty(t, b.stops())
		until := b.now.Add(b.d.Settings.OrphanAfter)
		for b.now.Before(until.Add(-time.Second)) {
			b.now = b.now.Add(time.Second)
			b.report(1, nil) // or its grant would end
		}
		b.advance(until.Sub(b.now))
		must.SliceContains(t, b.stops(), key)
	})
	t.Run("claimed in time", func(t *testing.T) { // guards against a stop of a run that a job has claimed
		b := newDesk(t, 1)
		found(b, specifier.Room{})
		b.submit("gone", 1, true)
		must.SliceEmpty(t, b.starts())
		b.advance(b.d.Settings.BlockedAfter)
		must.SliceEmpty(t, b.stops())
	})
	t.Run("claimed, and its room is known", func(t *testing.T) { // guards against a worker that stands idle beside a run of known room
		b := newDesk(t, 1)
		found(b, specifier.Room{})
		b.submit("gone", 1, true)
		b.submit("a", 2, true)
		must.SliceLen(t, 1, b.starts())
	})
}
