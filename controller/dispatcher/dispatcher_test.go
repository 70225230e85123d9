package dispatcher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// Guards against a worker over its capacity.
func TestCapacityIsNotExceeded(t *testing.T) {
	b := newDesk(t, 2)
	b.submit("a", 7, true)
	must.SliceLen(t, 4, b.starts())
}

// Guards against a stopped run whose room is given away before its end is listed.
func TestRoomOfAStoppedRunStaysInUse(t *testing.T) {
	b := newDesk(t, 1)
	b.submit("a", 2, true)
	b.step(CallReceived{Stream: caller, Sequence: 99, Call: specifier.QueueCall{Verb: specifier.CancelQueued, Host: "h", Path: "/q/a"}})
	b.submit("bb", 2, true)
	must.SliceEmpty(t, b.starts())
}

// Guards against a task that is started again while its silent agent may still hold its lease.
func TestSilentAgent(t *testing.T) {
	b := newDesk(t, 2)
	b.submit("a", 1, true)
	start := b.starts()[0]
	var at *holder
	for _, h := range b.d.holders {
		if len(h.runs) > 0 {
			at = h
		}
	}
	other := 1
	if at.name == name(1) {
		other = 2
	}
	b.step(AgentDisconnected{Stream: at.stream})
	for elapsed := time.Duration(0); elapsed < b.d.Settings.GrantSpan; elapsed += 100 * time.Millisecond {
		b.now = b.now.Add(100 * time.Millisecond)
		b.report(other, nil)
		must.SliceEmpty(t, b.starts())
	}
	b.advance(2 * b.d.Settings.GrantMargin)
	starts := b.starts()
	if len(starts) == 0 {
		b.report(other, nil)
		starts = b.starts()
	}
	must.SliceLen(t, 1, starts)
	must.Eq(t, start.Key.Task, starts[0].Key.Task)
	must.Greater(t, start.Key.Run, starts[0].Key.Run)
}

// Guards against a new leader that starts a task which already runs.
func TestNewLeaderWaitsForTheAgents(t *testing.T) {
	b := newDesk(t, 2)
	b.submit("a", 1, true)
	running := b.starts()[0].Key
	at := 1
	if len(b.d.holders[name(2)].runs) > 0 {
		at = 2
	}
	b.step(BecameFollower{})
	b.step(BecameLeader{Term: 2})
	b.submit("a", 1, true)
	must.SliceEmpty(t, b.starts())
	b.attach(3 - at)
	must.SliceEmpty(t, b.starts())
	listed := func(report *specifier.LeaseReport) {
		report.Runs = []specifier.LeasedRun{{Key: running, Resources: specifier.Resources{MilliCores: 1000, Memory: 1}}}
	}
	b.report(at, listed)
	b.report(at, listed)
	must.SliceEmpty(t, b.starts())
	b.report(at, func(report *specifier.LeaseReport) {
		report.Ends, report.Runs = []specifier.RunEnd{{Number: 1, Key: running, How: specifier.EndDone}}, nil
	})
	must.Eq(t, specifier.JobCompleted, b.mustReply(specifier.QueueOK).State)
}

// Guards against an end that the worker forgets before it is recorded.
func TestEndsAreNotedOnceRecorded(t *testing.T) {
	b := newDesk(t, 1)
	b.submit("a", 1, false)
	key := b.starts()[0].Key
	actions := b.d.Step(b.now, ReportReceived{Stream: 1, Report: specifier.LeaseReport{Agent: name(1), Incarnation: 1,
		Ends: []specifier.RunEnd{{Number: 1, Key: key, How: specifier.EndDone}}}})
	for _, order := range find[Order](actions) {
		must.Eq(t, 0, order.Order.Noted)
	}
	proposed := find[Propose](actions)
	must.SliceLen(t, 1, proposed)
	noted := uint64(0)
	for _, order := range find[Order](b.d.Step(b.now, Applied(proposed[0]))) {
		noted = max(noted, order.Order.Noted)
	}
	must.Eq(t, 1, noted)
}

func TestCallsThatCantBeServed(t *testing.T) {
	t.Run("without the lease", func(t *testing.T) { // guards against an answer of a leader that was replaced
		b := newDesk(t, 1)
		b.leading = false
		b.submit("a", 1, true)
		b.mustReply(specifier.QueueUnavailable)
	})
	t.Run("unknown queue", func(t *testing.T) {
		b := newDesk(t, 1)
		b.step(CallReceived{Stream: caller, Sequence: 1, Call: specifier.QueueCall{Verb: specifier.AskQueued, Host: "h", Path: "/other/a"}})
		b.mustReply(specifier.QueueUnknown)
	})
	t.Run("never started in time", func(t *testing.T) { // guards against a refusal of a job that has run
		b := newDesk(t, 0)
		b.submit("a", 1, true)
		b.advance(lateFactor * 220 * time.Millisecond)
		must.Positive(t, b.mustReply(specifier.QueueRefused).RetryAfter)
		b.attach(1)
		must.SliceEmpty(t, b.starts())
	})
}

// Guards against one worker that fails everything and is given task after task.
func TestWorkerThatFailsEverything(t *testing.T) {
	b := newDesk(t, 1)
	number := uint64(0)
	for _, id := range []string{"a", "bb", "ccc"} {
		b.submit(id, 1, true)
		starts := b.starts()
		if len(starts) == 0 {
			must.Eq(t, "ccc", id)
			return
		}
		number++
		b.report(1, func(report *specifier.LeaseReport) {
			report.Ends, report.Runs = []specifier.RunEnd{{Number: number, Key: starts[0].Key, How: specifier.EndFailed}}, nil
		})
		for _, again := range b.starts() {
			number++
			b.report(1, func(report *specifier.LeaseReport) {
				report.Ends, report.Runs = []specifier.RunEnd{{Number: number, Key: again.Key, How: specifier.EndFailed}}, nil
			})
		}
	}
	t.Fatal("the worker is still used")
}

// Guards against a caller that learns of the end of its job only with its next question.
func TestQuestionAtTheEnd(t *testing.T) {
	ask := func(b *desk) {
		b.step(CallReceived{Stream: caller, Sequence: 50, Call: specifier.QueueCall{Verb: specifier.AskQueued, Host: "h", Path: "/q/a"}})
	}
	t.Run("the job ends", func(t *testing.T) {
		b := newDesk(t, 1)
		b.submit("a", 1, false)
		key := b.starts()[0].Key
		ask(b)
		must.SliceEmpty(t, find[Reply](b.actions))
		b.report(1, func(report *specifier.LeaseReport) {
			report.Ends, report.Runs = []specifier.RunEnd{{Number: 1, Key: key, How: specifier.EndDone}}, nil
		})
		must.Eq(t, specifier.JobCompleted, b.mustReply(specifier.QueueOK).State)
	})
	t.Run("the job goes on", func(t *testing.T) {
		b := newDesk(t, 1)
		b.submit("a", 1, false)
		ask(b)
		b.advance(askWithin)
		must.Eq(t, specifier.JobRunning, b.mustReply(specifier.QueueOK).State)
	})
	t.Run("a task waits for room", func(t *testing.T) {
		b := newDesk(t, 1)
		b.submit("a", 3, false)
		ask(b)
		must.Eq(t, specifier.JobRunning, b.mustReply(specifier.QueueOK).State)
	})
}

// Guards against a task at a worker that its step does not allow.
func TestWorkersThatAStepAllows(t *testing.T) {
	submit := func(b *desk, step specifier.Step) {
		step.Resources, step.Estimate = specifier.Resources{MilliCores: 500, Memory: 1}, 100*time.Millisecond
		b.step(CallReceived{Stream: caller, Sequence: 1, Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: "/q/a",
			Job: specifier.QueuedJob{Transient: true, Steps: []specifier.Step{step}}}})
	}
	t.Run("of its label only", func(t *testing.T) {
		b := newDesk(t, 2)
		submit(b, specifier.Step{Count: 1, Label: "special"})
		must.SliceEmpty(t, b.starts())
		b.report(2, func(report *specifier.LeaseReport) { report.Worker.Labels = []string{"special"} })
		must.SliceLen(t, 1, b.starts())
	})
	t.Run("so many on one", func(t *testing.T) {
		b := newDesk(t, 2)
		submit(b, specifier.Step{Count: 5, PerWorker: 1})
		must.SliceLen(t, 2, b.starts())
	})
	t.Run("of its pool only", func(t *testing.T) {
		b := newDesk(t, 1)
		b.report(1, func(report *specifier.LeaseReport) { report.Worker.Pool = "other" })
		submit(b, specifier.Step{Count: 1})
		must.SliceEmpty(t, b.starts())
	})
}
