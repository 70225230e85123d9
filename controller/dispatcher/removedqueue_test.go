package dispatcher

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// manifest replaces the queues. The fixture's own manifest has version 1.
func (f *fixture) manifest(version uint64, queues ...specifier.Queue) {
	f.step(Applied{specifier.QueueCommand{Manifest: &specifier.Manifest{Version: version, Queues: queues}}})
}

// end reports the end of the run of a task at agent 1.
func (f *fixture) end(start specifier.RunStart, kind specifier.EndKind) {
	f.endNumber++
	end := specifier.RunEnd{Number: f.endNumber, Key: start.Key, Kind: kind}
	f.report(1, func(report *specifier.LeaseReport) {
		report.Runs, report.Ends = nil, []specifier.RunEnd{end}
	})
}

// mustState requires the state that a query for job a is answered with.
func (f *fixture) mustState(want specifier.QueueState) {
	f.t.Helper()
	f.query("a")
	if len(find[Reply](f.actions)) == 0 {
		f.advance(queryTimeout) // the query waits while the job may end at any moment
	}
	must.Eq(f.t, want, f.mustReply(specifier.QueueOK).State)
}

// cancelledWhileUnrecorded returns a fixture with a job whose queue was removed and which was cancelled before its acceptance was committed,
// and both commands.
func cancelledWhileUnrecorded(t *testing.T) (f *fixture, accept, cancel Propose) {
	f = newFixture(t, 1)
	propose := func(event Event) Propose {
		proposed := find[Propose](f.d.Step(f.now, event))
		must.SliceLen(t, 1, proposed)
		return proposed[0]
	}
	accept = propose(CallReceived{Stream: caller, Sequence: 1, Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: "/q/a",
		Job: specifier.QueuedJob{Steps: []specifier.Step{{Count: 1, Resources: taskResources}}}}})
	f.manifest(2)
	cancel = propose(CallReceived{Stream: caller, Sequence: 2, Call: specifier.QueueCall{Verb: specifier.CancelQueued, Host: "h", Path: "/q/a"}})
	return f, accept, cancel
}

// Guards against an accepted job that fails early, stands still, is denied or can't be cancelled because its queue was removed or renamed.
func TestRemovedQueue(t *testing.T) {
	started := func(t *testing.T) (*fixture, specifier.RunStart) {
		f := newFixture(t, 1)
		f.submit("a", 1, false)
		return f, f.starts()[0]
	}
	t.Run("a run fails meanwhile", func(t *testing.T) {
		f, start := started(t)
		f.manifest(2)
		f.end(start, specifier.EndFailed)
		f.manifest(3, testQueue("q", "/q/"))
		f.mustState(specifier.JobRunning)
	})
	t.Run("a new leader", func(t *testing.T) {
		f := newFixture(t, 0)
		f.submit("a", 1, false)
		f.manifest(2)
		f.step(BecameFollower{})
		f.step(BecameLeader{Term: 2})
		f.attach(1)
		must.SliceLen(t, 1, f.starts())
	})
	t.Run("renamed", func(t *testing.T) {
		f, _ := started(t)
		f.manifest(2, testQueue("r", "/q/"))
		f.mustState(specifier.JobRunning)
	})
	t.Run("cancelled", func(t *testing.T) {
		f, start := started(t)
		f.manifest(2)
		f.cancel("a")
		f.mustReply(specifier.JobNotFound)
		must.Eq(t, []specifier.RunKey{start.Key}, f.stops())
	})
	t.Run("cancelled again", func(t *testing.T) {
		f, _ := started(t)
		f.manifest(2)
		f.cancel("a")
		f.cancel("a")
		f.mustReply(specifier.JobNotFound)
	})
	t.Run("cancelled, transient", func(t *testing.T) {
		f := newFixture(t, 1)
		f.submit("a", 1, true)
		start := f.starts()[0]
		f.manifest(2)
		f.cancel("a")
		replies := find[Reply](f.actions)
		must.Len(t, 2, replies) // to the submission and the cancellation
		must.Eq(t, specifier.JobNotFound, replies[1].Reply.Result)
		must.Eq(t, []specifier.RunKey{start.Key}, f.stops())
	})
	t.Run("cancelled before it is recorded", func(t *testing.T) {
		f, accept, cancel := cancelledWhileUnrecorded(t)
		f.step(Applied(accept))
		f.mustReply(specifier.QueueOK) // to the submission
		must.SliceEmpty(t, f.starts())
		f.step(Applied(cancel))
		f.mustReply(specifier.JobNotFound)
		must.SliceEmpty(t, f.starts())
	})
	t.Run("cancelled before the log rejects it", func(t *testing.T) { // guards against a cancellation that gets no answer
		f, accept, _ := cancelledWhileUnrecorded(t)
		f.step(Rejected{Command: accept.Command})
		replies := find[Reply](f.actions)
		must.Len(t, 2, replies) // to the submission and the cancellation
		must.Eq(t, specifier.QueueUnavailable, replies[1].Reply.Result)
	})
	t.Run("another path", func(t *testing.T) {
		f, _ := started(t)
		f.manifest(2)
		f.callAt(specifier.CancelQueued, "/other/a")
		f.mustReply(specifier.QueueNotFound)
		must.SliceEmpty(t, f.stops())
	})
}

// Guards against a denial of a known job that the log can't tell from the denial of an unknown one.
func TestDenialOfAKnownJobIsLogged(t *testing.T) {
	denials := func(t *testing.T, id string) int {
		f := newFixture(t, 1)
		f.submit("a", 1, false)
		f.manifest(2, specifier.Queue{Name: "outer", Host: "h", Prefix: "/", Pool: "p"})
		f.callAt(specifier.QueryQueued, "/other/"+id)
		f.mustReply(specifier.JobNotFound)
		logged := slices.DeleteFunc(find[LogEvent](f.actions), func(event LogEvent) bool { return event.Event != "JobDenied" })
		return len(logged)
	}
	t.Run("known", func(t *testing.T) { must.Eq(t, 1, denials(t, "a")) })
	t.Run("unknown", func(t *testing.T) { must.Eq(t, 0, denials(t, "b")) })
}

// Guards against a count of 0 pending jobs although accepted jobs wait, because their queue has another name now.
func TestPendingJobsOfARenamedQueue(t *testing.T) {
	count := func(t *testing.T, queue specifier.Queue) int {
		f := newFixture(t, 0)
		f.submit("a", 1, false)
		f.manifest(2, queue)
		f.callAt(specifier.QueryQueued, queue.Prefix)
		return f.mustReply(specifier.QueueOK).Pending
	}
	t.Run("same path", func(t *testing.T) { must.Eq(t, 1, count(t, testQueue("r", "/q/"))) })
	t.Run("same name", func(t *testing.T) { must.Eq(t, 1, count(t, testQueue("q", "/q/"))) })
	t.Run("another path and name", func(t *testing.T) { must.Eq(t, 0, count(t, testQueue("r", "/"))) })
}
