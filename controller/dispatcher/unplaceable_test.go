package dispatcher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// submitNeed submits a job of one task that needs the resources, of which a worker of the fixture has 2000 and 100.
func (f *fixture) submitNeed(id string, transient bool, milliCores, memory int) {
	f.step(CallReceived{Stream: caller, Sequence: uint64(len(id)), Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: "/q/" + id,
		Job: specifier.QueuedJob{Transient: transient, Steps: []specifier.Step{{Count: 1, Resources: specifier.Resources{MilliCores: milliCores, Memory: memory}, Estimate: f.estimate}}}}})
}

// mustWaitApart requires that a number of tasks wait for a worker that could hold them.
func (f *fixture) mustWaitApart(tasks int) {
	f.t.Helper()
	apart := 0
	for _, each := range f.d.Waiting() {
		if each.Reason == WaitsForWorker {
			apart += each.Tasks
		}
	}
	must.Eq(f.t, tasks, apart)
}

// Guards against a job that no worker can hold and that keeps all work behind it from starting.
func TestUnplaceableWork(t *testing.T) {
	t.Run("work behind it starts", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submitNeed("a", false, 1000, 101)
		f.mustWaitApart(1)
		f.submitNeed("bb", false, 1000, 1)
		must.SliceLen(t, 1, f.starts())
	})
	t.Run("too many cores", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submitNeed("a", false, 2001, 1)
		f.submitNeed("bb", false, 1000, 1)
		must.SliceLen(t, 1, f.starts())
	})
	t.Run("a worker that can hold it joins", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submitNeed("a", false, 1000, 101)
		larger := func(report *specifier.LeaseReport) {
			report.Worker.Capacity.Memory = 200
		}
		f.report(2, larger)
		f.report(2, larger)
		must.SliceLen(t, 1, f.starts())
		f.mustWaitApart(0)
	})
	t.Run("it is cancelled", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submitNeed("a", false, 1000, 101)
		f.cancel("a")
		f.mustReply(specifier.QueueOK)
		f.mustWaitApart(0)
	})
	t.Run("a transient job is refused within a quarter of its objective", func(t *testing.T) { // guards against a caller that waits for its deadline in vain
		f := newFixture(t, 1)
		f.submitNeed("a", true, 1000, 101)
		mustRefuse(t, f, 55*time.Millisecond, true)
	})
	t.Run("not before a new leader knows the workers", func(t *testing.T) { // guards against a refusal because the fitting worker was not heard yet
		f := newFixture(t, 2)
		f.step(BecameFollower{})
		f.step(BecameLeader{Term: 2})
		f.attach(1)
		f.submitNeed("a", true, 1000, 101)
		f.mustWaitApart(0)
	})
}

// Guards against a task that waits for memory and keeps one of the same cores, which needs less memory, from starting.
func TestSmallerInAnotherResource(t *testing.T) {
	f := newFixture(t, 1)
	f.submitNeed("a", false, 500, 90)
	f.submitNeed("bb", false, 500, 50)
	f.now = f.now.Add(time.Millisecond)
	f.submitNeed("ccc", false, 500, 5)
	must.SliceLen(t, 1, f.starts())
}
