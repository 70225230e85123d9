package dispatcher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// discoverOrphan makes the dispatcher a new leader whose only agent lists one run that no job claims.
func discoverOrphan(f *fixture, resources specifier.Resources) specifier.RunKey {
	key := specifier.RunKey{Task: "gone.0.0.0", Run: 4097}
	f.step(BecameFollower{})
	f.step(BecameLeader{Term: 2})
	list := func(report *specifier.LeaseReport) {
		report.Runs = []specifier.LeasedRun{{Key: key, Resources: resources}}
	}
	f.report(1, list)
	f.report(1, list)
	return key
}

// stops returns the runs that the actions stop.
func (f *fixture) stops() []specifier.RunKey {
	var keys []specifier.RunKey
	for _, order := range find[Order](f.actions) {
		keys = append(keys, order.Order.Stops...)
	}
	return keys
}

// Guards against a second run of a task when its caller resubmits the abandoned job just as the job is deleted and the first run is
// being stopped.
func TestAbandonedJobIsResubmitted(t *testing.T) {
	f := newFixture(t, 2)
	f.estimate = time.Minute // keeps the run from being stopped as stalled
	f.submit("a", 1, true)
	key := f.starts()[0].Key
	f.step(CallReceived{Stream: caller, Sequence: 1, Call: specifier.QueueCall{Verb: specifier.AbandonQueued}})
	until := f.now.Add(f.d.Settings.KeepAfter)
	for f.now.Before(until.Add(-time.Second)) {
		f.now = f.now.Add(time.Second)
		f.report(1, nil)
		f.report(2, nil)
		must.SliceEmpty(t, f.stops())
	}
	f.advance(until.Sub(f.now))
	must.Eq(t, []specifier.RunKey{key}, f.stops())
	f.report(1, nil)
	f.report(2, nil)
	f.submit("a", 1, true)
	must.SliceEmpty(t, f.starts())
}

func TestRunsThatNoJobClaims(t *testing.T) {
	t.Run("of unknown resources", func(t *testing.T) { // guards against a worker that gets no task because of one run of unknown resources
		f := newFixture(t, 1)
		key := discoverOrphan(f, specifier.Resources{})
		f.submit("a", 1, true)
		must.SliceEmpty(t, f.starts())
		f.advance(f.d.Settings.BlockedAfter)
		must.Eq(t, []specifier.RunKey{key}, f.stops())
	})
	t.Run("of known resources", func(t *testing.T) { // guards against stopping a run before its caller resubmits the job
		f := newFixture(t, 1)
		key := discoverOrphan(f, taskResources)
		f.submit("a", 1, true)
		must.SliceLen(t, 1, f.starts())
		f.advance(f.d.Settings.BlockedAfter)
		must.SliceEmpty(t, f.stops())
		until := f.now.Add(f.d.Settings.OrphanAfter)
		for f.now.Before(until.Add(-time.Second)) {
			f.now = f.now.Add(time.Second)
			f.report(1, nil) // renews the grant
		}
		f.advance(until.Sub(f.now))
		must.SliceContains(t, f.stops(), key)
	})
	t.Run("claimed in time", func(t *testing.T) { // guards against stopping a run that a job has claimed
		f := newFixture(t, 1)
		discoverOrphan(f, specifier.Resources{})
		f.submit("gone", 1, true)
		must.SliceEmpty(t, f.starts())
		f.advance(f.d.Settings.BlockedAfter)
		must.SliceEmpty(t, f.stops())
	})
	t.Run("claimed while it is being stopped", func(t *testing.T) { // guards against a second run before the first one has stopped
		f := newFixture(t, 2)
		key := discoverOrphan(f, specifier.Resources{})
		f.attach(2)
		f.advance(f.d.Settings.BlockedAfter)
		must.Eq(t, []specifier.RunKey{key}, f.stops())
		f.submit("gone", 1, true)
		must.SliceEmpty(t, f.starts())
		f.reportEnd(1, key, specifier.EndStopped)
		f.report(1, nil)
		must.SliceLen(t, 1, f.d.jobs["gone"].tasks[0])
		must.Eq(t, taskPlaced, f.d.jobs["gone"].tasks[0][0].state)
		must.NotEq(t, key, f.d.jobs["gone"].tasks[0][0].run.key)
	})
	t.Run("claimed, and its resources are known", func(t *testing.T) { // guards against a worker that gets no task after the resources of its run became known
		f := newFixture(t, 1)
		discoverOrphan(f, specifier.Resources{})
		f.submit("gone", 1, true)
		f.submit("a", 2, true)
		must.SliceLen(t, 1, f.starts())
	})
}
