package dispatcher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// Guards against starting more tasks at a worker than its capacity allows.
func TestCapacityIsNotExceeded(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("a", 7, true)
	must.SliceLen(t, 4, f.starts())
}

// Guards against reusing the resources of a stopped run before its end is reported: the run may still use them.
func TestResourcesOfAStoppedRunStayInUse(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("a", 2, true)
	f.cancel("a")
	f.submit("bb", 2, true)
	must.SliceEmpty(t, f.starts())
}

// Guards against starting a task again while its unreachable agent may still hold the lease of the first run.
func TestUnreachableAgent(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("a", 1, true)
	start := f.starts()[0]
	busy := f.busyAgent()
	other := 3 - busy
	f.step(AgentDisconnected{Stream: Stream(busy)})
	for elapsed := time.Duration(0); elapsed < f.d.Settings.GrantSpan; elapsed += 100 * time.Millisecond {
		f.now = f.now.Add(100 * time.Millisecond)
		f.report(other, nil)
		must.SliceEmpty(t, f.starts())
	}
	f.advance(2 * f.d.Settings.GrantMargin)
	starts := f.starts()
	if len(starts) == 0 {
		f.report(other, nil)
		starts = f.starts()
	}
	must.SliceLen(t, 1, starts)
	must.Eq(t, start.Key.Task, starts[0].Key.Task)
	must.Greater(t, start.Key.Run, starts[0].Key.Run)
}

// Guards against a new leader that starts a task before the agent that already runs it has listed its runs.
func TestNewLeaderWaitsForTheAgents(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("a", 1, true)
	running := f.starts()[0].Key
	at := f.busyAgent()
	f.step(BecameFollower{})
	f.step(BecameLeader{Term: 2})
	f.submit("a", 1, true)
	must.SliceEmpty(t, f.starts())
	f.attach(3 - at)
	must.SliceEmpty(t, f.starts())
	listed := func(report *specifier.LeaseReport) {
		report.Runs = []specifier.LeasedRun{{Key: running, Resources: taskResources}}
	}
	f.report(at, listed)
	f.report(at, listed)
	must.SliceEmpty(t, f.starts())
	f.report(at, func(report *specifier.LeaseReport) {
		report.Ends, report.Runs = []specifier.RunEnd{{Number: 1, Key: running, Kind: specifier.EndDone}}, nil
	})
	must.Eq(t, specifier.JobCompleted, f.mustReply(specifier.QueueOK).State)
}

// Guards against acknowledging an end before it is recorded: the worker would delete it, and a new leader would run the task again.
func TestEndsAreAcknowledgedOnceRecorded(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("a", 1, false)
	key := f.starts()[0].Key
	actions := f.d.Step(f.now, ReportReceived{Stream: 1, Report: specifier.LeaseReport{Agent: agentName(1), Incarnation: 1,
		Ends: []specifier.RunEnd{{Number: 1, Key: key, Kind: specifier.EndDone}}}})
	for _, order := range find[Order](actions) {
		must.Eq(t, 0, order.Order.AcknowledgedEnd)
	}
	proposed := find[Propose](actions)
	must.SliceLen(t, 1, proposed)
	acknowledged := uint64(0)
	for _, order := range find[Order](f.d.Step(f.now, Applied(proposed[0]))) {
		acknowledged = max(acknowledged, order.Order.AcknowledgedEnd)
	}
	must.Eq(t, 1, acknowledged)
}

func TestCallsThatCantBeServed(t *testing.T) {
	t.Run("without the lease", func(t *testing.T) { // guards against a reply from a leader that was replaced
		f := newFixture(t, 1)
		f.leading = false
		f.submit("a", 1, true)
		f.mustReply(specifier.QueueUnavailable)
	})
	t.Run("unknown queue", func(t *testing.T) {
		f := newFixture(t, 1)
		f.step(CallReceived{Stream: caller, Sequence: 1, Call: specifier.QueueCall{Verb: specifier.QueryQueued, Host: "h", Path: "/other/a"}})
		f.mustReply(specifier.QueueNotFound)
	})
	t.Run("the path continues after the ID", func(t *testing.T) { // guards against a job that runs again in a queue with a shorter prefix once its own is removed
		f := newFixture(t, 1)
		f.submit("removed/a", 1, true)
		f.mustReply(specifier.QueueInvalid)
		must.SliceEmpty(t, f.starts())
	})
	t.Run("never started in time", func(t *testing.T) { // guards against running tasks of a job that was refused
		f := newFixture(t, 0)
		f.submit("a", 1, true)
		f.advance(expiryFactor * 220 * time.Millisecond)
		must.Positive(t, f.mustReply(specifier.QueueRefused).RetryAfter)
		f.attach(1)
		must.SliceEmpty(t, f.starts())
	})
}

// Guards against a black hole: a worker that fails every task immediately, is therefore always free, and gets task after task.
func TestWorkerThatFailsEverything(t *testing.T) {
	f := newFixture(t, 1)
	number := uint64(0)
	for _, id := range []string{"a", "bb", "ccc"} {
		f.submit(id, 1, true)
		starts := f.starts()
		if len(starts) == 0 {
			must.Eq(t, "ccc", id)
			return
		}
		number++
		f.report(1, func(report *specifier.LeaseReport) {
			report.Ends, report.Runs = []specifier.RunEnd{{Number: number, Key: starts[0].Key, Kind: specifier.EndFailed}}, nil
		})
		for _, retry := range f.starts() {
			number++
			f.report(1, func(report *specifier.LeaseReport) {
				report.Ends, report.Runs = []specifier.RunEnd{{Number: number, Key: retry.Key, Kind: specifier.EndFailed}}, nil
			})
		}
	}
	t.Fatal("the worker is still used")
}

// Guards against a caller that learns of the end of its job only with its next poll, because its query came just before the end.
func TestQueryJustBeforeTheEnd(t *testing.T) {
	query := func(f *fixture) {
		f.step(CallReceived{Stream: caller, Sequence: 50, Call: specifier.QueueCall{Verb: specifier.QueryQueued, Host: "h", Path: "/q/a"}})
	}
	t.Run("the job ends", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submit("a", 1, false)
		key := f.starts()[0].Key
		query(f)
		must.SliceEmpty(t, find[Reply](f.actions))
		f.report(1, func(report *specifier.LeaseReport) {
			report.Ends, report.Runs = []specifier.RunEnd{{Number: 1, Key: key, Kind: specifier.EndDone}}, nil
		})
		must.Eq(t, specifier.JobCompleted, f.mustReply(specifier.QueueOK).State)
	})
	t.Run("the job goes on", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submit("a", 1, false)
		query(f)
		f.advance(queryTimeout)
		must.Eq(t, specifier.JobRunning, f.mustReply(specifier.QueueOK).State)
	})
	t.Run("a task waits for resources", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submit("a", 3, false)
		query(f)
		must.Eq(t, specifier.JobRunning, f.mustReply(specifier.QueueOK).State)
	})
}

// Guards against starting a task at a worker that its step's label, limit per worker or pool excludes.
func TestWorkersThatAStepAllows(t *testing.T) {
	submit := func(f *fixture, step specifier.Step) {
		step.Resources, step.Estimate = specifier.Resources{MilliCores: 500, Memory: 1}, 100*time.Millisecond
		f.step(CallReceived{Stream: caller, Sequence: 1, Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: "/q/a",
			Job: specifier.QueuedJob{Transient: true, Steps: []specifier.Step{step}}}})
	}
	t.Run("label", func(t *testing.T) {
		f := newFixture(t, 2)
		submit(f, specifier.Step{Count: 1, Label: "special"})
		must.SliceEmpty(t, f.starts())
		f.report(2, func(report *specifier.LeaseReport) { report.Worker.Labels = []string{"special"} })
		must.SliceLen(t, 1, f.starts())
	})
	t.Run("limit per worker", func(t *testing.T) {
		f := newFixture(t, 2)
		submit(f, specifier.Step{Count: 5, PerWorker: 1})
		must.SliceLen(t, 2, f.starts())
	})
	t.Run("pool", func(t *testing.T) {
		f := newFixture(t, 1)
		f.report(1, func(report *specifier.LeaseReport) { report.Worker.Pool = "other" })
		submit(f, specifier.Step{Count: 1})
		must.SliceEmpty(t, f.starts())
	})
}
