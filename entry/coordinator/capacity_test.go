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

// TestRecordedAnswersAreEvicted guards against an entry that refuses jobs because it still retains the answers of the
// last 30 s: with a capacity of 10,000 jobs, refusals would start at 333 jobs per second.
func TestRecordedAnswersAreEvicted(t *testing.T) {
	const capacity = 4
	start := func(t *testing.T) *cluster {
		c := newCluster(t, 1, 2)
		e := c.entries[0]
		e.machine = coordinator.New(capacity, rand.New(rand.NewPCG(1, 1)), &scheduler.Scheduler{})
		c.stepEntry(e, coordinator.Identified{Self: e.id})
		c.publish()
		c.connectAll()
		for _, s := range c.liveStreams() {
			c.disconnect(s, 0)
			c.connect(s)
		}
		return c
	}
	finish := func(c *cluster) {
		c.decideAll(c.entries[0])
		c.deliverAll()
		c.endAllRuns()
		c.deliverAll()
		c.decideAll(c.entries[0])
		c.tick(10 * time.Millisecond) // an agent is sent at most two tasks within 5 ms
	}
	t.Run("recorded answers are evicted", func(t *testing.T) {
		c := start(t)
		for i := range 5 * capacity {
			waiter := c.submit(c.entries[0], newJob(i, 1))
			finish(c)
			mustOutcome(t, c, waiter, specifier.Complete, "")
		}
		c.mustKeepGuarantees()
	})
	t.Run("a resubmitted job still gets its answer", func(t *testing.T) {
		c := start(t)
		for i := range 2 * capacity {
			c.submit(c.entries[0], newJob(i, 1))
			finish(c)
		}
		waiter := c.submit(c.entries[0], newJob(0, 1))
		finish(c)
		mustOutcome(t, c, waiter, specifier.Complete, "")
		must.Len(t, 1, c.replies[waiter][0].Results)
		mustStart(t, c, newJob(0, 1), 1)
		c.mustKeepGuarantees()
	})
	t.Run("jobs in flight are not evicted", func(t *testing.T) {
		c := start(t)
		for i := range capacity {
			c.submit(c.entries[0], newJob(i, 1))
		}
		mustOutcome(t, c, c.submit(c.entries[0], newJob(capacity, 1)), specifier.Failed, specifier.Overloaded)
		finish(c)
		c.mustKeepGuarantees()
	})
}
