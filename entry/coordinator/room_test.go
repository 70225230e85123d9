package coordinator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/scheduler"
	"oleandertally/entry/coordinator"
)

// Guards against an entry that refuses jobs because it still holds the answers of the last 30 s: with room
// for 10,000 jobs that is from 333 jobs a second on.
func TestAnswersMakeRoom(t *testing.T) {
	const room = 4
	fill := func(t *testing.T) *world {
		w := newWorld(t, 1, 2)
		e := w.entries[0]
		e.machine = coordinator.New(room, rand.New(rand.NewPCG(1, 1)), &scheduler.Scheduler{})
		w.entry(e, coordinator.Identified{Self: e.id})
		w.publish()
		w.linkAll()
		for _, l := range w.pairs() {
			w.disconnect(l, 0)
			w.connect(l)
		}
		return w
	}
	finish := func(w *world) {
		w.decideAll(w.entries[0])
		w.pump()
		w.endAll()
		w.pump()
		w.decideAll(w.entries[0])
		w.tick(10 * time.Millisecond) // an agent is sent two tasks in 5 ms at most
	}
	t.Run("recorded answers leave", func(t *testing.T) {
		w := fill(t)
		for i := range 5 * room {
			waiter := w.submit(w.entries[0], newJob(i, 1))
			finish(w)
			mustOutcome(t, w, waiter, specifier.Complete, "")
		}
		w.mustHold()
	})
	t.Run("a repeat still gets its answer", func(t *testing.T) {
		w := fill(t)
		for i := range 2 * room {
			w.submit(w.entries[0], newJob(i, 1))
			finish(w)
		}
		waiter := w.submit(w.entries[0], newJob(0, 1))
		finish(w)
		mustOutcome(t, w, waiter, specifier.Complete, "")
		must.Len(t, 1, w.replies[waiter][0].Results)
		mustStart(t, w, newJob(0, 1), 1)
		w.mustHold()
	})
	t.Run("jobs in flight stay", func(t *testing.T) {
		w := fill(t)
		for i := range room {
			w.submit(w.entries[0], newJob(i, 1))
		}
		mustOutcome(t, w, w.submit(w.entries[0], newJob(room, 1)), specifier.Failed, specifier.Overloaded)
		finish(w)
		w.mustHold()
	})
}
