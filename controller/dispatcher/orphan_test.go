package dispatcher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// found lets a new leader find one run that no job claims at its only agent.
func found(b *desk, room specifier.Resources) specifier.RunKey {
	key := specifier.RunKey{Task: "gone.0.0.0", Run: 4097}
	b.step(BecameFollower{})
	b.step(BecameLeader{Term: 2})
	list := func(report *specifier.LeaseReport) { report.Runs = []specifier.LeasedRun{{Key: key, Resources: room}} }
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

// Guards against a second run of a task whose caller comes back just when its abandoned job is forgotten.
func TestAbandonedJobComesBack(t *testing.T) {
	b := newDesk(t, 2)
	b.estimate = time.Minute // or the run would be stopped because it stands still
	b.submit("a", 1, true)
	key := b.starts()[0].Key
	b.step(CallReceived{Stream: caller, Sequence: 1, Call: specifier.QueueCall{Verb: specifier.AbandonQueued}})
	until := b.now.Add(b.d.Settings.KeepAfter)
	for b.now.Before(until.Add(-time.Second)) {
		b.now = b.now.Add(time.Second)
		b.report(1, nil)
		b.report(2, nil)
		must.SliceEmpty(t, b.stops())
	}
	b.advance(until.Sub(b.now))
	must.Eq(t, []specifier.RunKey{key}, b.stops())
	b.report(1, nil)
	b.report(2, nil)
	b.submit("a", 1, true)
	must.SliceEmpty(t, b.starts())
}

func TestRunsThatNoJobClaims(t *testing.T) {
	t.Run("of unknown room", func(t *testing.T) { // guards against a worker that stands idle beside one run
		b := newDesk(t, 1)
		key := found(b, specifier.Resources{})
		b.submit("a", 1, true)
		must.SliceEmpty(t, b.starts())
		b.advance(b.d.Settings.BlockedAfter)
		must.Eq(t, []specifier.RunKey{key}, b.stops())
	})
	t.Run("of known room", func(t *testing.T) { // guards against work that is thrown away before its caller comes back
		b := newDesk(t, 1)
		key := found(b, specifier.Resources{MilliCores: 1000, Memory: 1})
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
		found(b, specifier.Resources{})
		b.submit("gone", 1, true)
		must.SliceEmpty(t, b.starts())
		b.advance(b.d.Settings.BlockedAfter)
		must.SliceEmpty(t, b.stops())
	})
	t.Run("claimed while it is being stopped", func(t *testing.T) { // guards against a second run beside one whose stop has not arrived
		b := newDesk(t, 2)
		key := found(b, specifier.Resources{})
		b.attach(2)
		b.advance(b.d.Settings.BlockedAfter)
		must.Eq(t, []specifier.RunKey{key}, b.stops())
		b.submit("gone", 1, true)
		must.SliceEmpty(t, b.starts())
		b.reportEnd(1, key, specifier.EndStopped)
		b.report(1, nil)
		must.SliceLen(t, 1, b.d.jobs["gone"].tasks[0])
		must.Eq(t, taskPlaced, b.d.jobs["gone"].tasks[0][0].state)
		must.NotEq(t, key, b.d.jobs["gone"].tasks[0][0].run.key)
	})
	t.Run("claimed, and its room is known", func(t *testing.T) { // guards against a worker that stands idle beside a run of known room
		b := newDesk(t, 1)
		found(b, specifier.Resources{})
		b.submit("gone", 1, true)
		b.submit("a", 2, true)
		must.SliceLen(t, 1, b.starts())
	})
}
