package coordinator_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/agent/executor"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

// mustStart counts the starts of a job's tasks that reached an upstream.
func mustStart(t *testing.T, w *world, job specifier.Job, want int) {
	t.Helper()
	starts := 0
	for _, event := range w.events {
		if event.Job == job.ID && event.Kind == recorder.TaskStarted {
			starts++
		}
	}
	must.Eq(t, want, starts)
}

// decideAll commits everything that an entry proposed.
func (w *world) decideAll(e *entryNode) {
	for len(e.pending) > 0 && !e.cut {
		w.decide(e, false)
	}
}

// pump delivers every message between entries and agents.
func (w *world) pump() {
	for _, l := range w.pairs() {
		for l.up && len(l.toAgent)+len(l.toEntry) > 0 {
			w.deliver(l)
		}
	}
}

// endAll ends every running call with a result.
func (w *world) endAll() {
	for _, a := range w.agents {
		for a.alive && len(a.running) > 0 {
			w.endRun(a, 0, executor.RunEnded{})
		}
	}
}

// Guards against a lost or doubled step on the plain path.
func TestJobRunsOnce(t *testing.T) {
	w := newWorld(t, 2, 2)
	job := newJob(0, 3)
	first := w.submit(w.entries[0], job)
	w.decideAll(w.entries[0])
	second := w.submit(w.entries[1], job)
	w.decideAll(w.entries[1])
	w.pump()
	w.endAll()
	w.pump()
	mustOutcome(t, w, first, specifier.Complete, "")
	mustOutcome(t, w, second, specifier.Complete, "")
	must.Len(t, 3, w.replies[second][0].Results)
	mustStart(t, w, job, 3)
	w.mustHold()
}

// Guards against a second start when an agent's report crosses an assignment: the report says
// nothing about a task that was sent after the question (found by seed 149).
func TestReportDoesNotJudgeLaterAssignments(t *testing.T) {
	w := newWorld(t, 1, 2)
	e := w.entries[0]
	job := newJob(0, 6) // more than the slots, so that some wait at the entry
	w.submit(e, job)
	w.decideAll(e)
	l := w.link(e, w.agents[0])
	w.disconnect(l, 0)
	w.connect(l) // asks what arrived; the answer is still on its way
	w.pump()
	w.endAll()
	w.pump()
	w.settle()
	mustStart(t, w, job, 6)
	w.mustHold()
}

// Guards against a new run under an epoch that an unnoticed takeover won: its tasks may have
// started at the former owner (found by seed 2139).
func TestUnnoticedTakeOverIsCollected(t *testing.T) {
	w := newWorld(t, 2, 2)
	job := newJob(0, 2)
	w.submit(w.entries[0], job)
	w.decideAll(w.entries[0])
	w.pump()
	w.killEntry(w.entries[0])
	w.end(w.entries[0].id)
	w.publish()
	successor := w.entries[1]
	w.submit(successor, job)
	w.decide(successor, false) // attached to an owner that is down
	w.decide(successor, true)  // the decision on the takeover is lost
	for range 60 {
		w.tick(100 * time.Millisecond) // the caller is answered, the job is dropped here
	}
	w.submit(successor, job)
	w.asked = nil
	w.settle()
	mustStart(t, w, job, 2)
	w.mustHold()
}

// Guards against an entry that goes on sending tasks after it was recorded as Down: an agent that
// joined since was not fenced by the entry that took the job over.
func TestExpelledEntryStopsDispatching(t *testing.T) {
	w := newWorld(t, 2, 1)
	former, successor := w.entries[0], w.entries[1]
	job := newJob(0, 8)
	w.submit(former, job)
	w.decideAll(former)
	w.pump()
	former.cut = true
	w.end(former.id)
	w.publish()
	w.submit(successor, job)
	w.decideAll(successor)
	w.pump()
	w.agents = append(w.agents, &agentNode{})
	w.startAgent(1)
	w.connect(w.link(former, w.agents[1])) // carries the membership in which the entry is Down
	w.pump()
	w.settle()
	mustStart(t, w, job, 8)
	w.mustHold()
}

// Guards against a refusal by a configuration that is no longer in force (found by seed 803).
func TestStaleEntryDoesNotRefuse(t *testing.T) {
	w := newWorld(t, 1, 2)
	e := w.entries[0]
	w.killEntry(e)
	w.end(e.id)
	w.startEntry(0) // has no configuration yet
	job := newJob(0, 1)
	waiter := w.submit(e, job)
	w.settle()
	mustOutcome(t, w, waiter, specifier.Complete, "")
	w.mustHold()
}

// Guards against a NotRun for a key that runs through another entry.
func TestRefusalAsksTheRecord(t *testing.T) {
	w := newWorld(t, 2, 2)
	job := newJob(0, 1)
	first := w.submit(w.entries[0], job)
	w.decideAll(w.entries[0])
	w.entry(w.entries[1], coordinator.DrainRequested{})
	second := w.submit(w.entries[1], job)
	w.settle()
	mustOutcome(t, w, first, specifier.Complete, "")
	mustOutcome(t, w, second, specifier.Complete, "")
	w.mustHold()
}

// Guards against a copy that runs after another copy of the same request was refused.
func TestRefusalHoldsForCopiesOnTheirWay(t *testing.T) {
	w := newWorld(t, 2, 2)
	job := newJob(0, 1)
	late := w.submit(w.entries[0], job) // proposed, not decided
	w.entry(w.entries[1], coordinator.DrainRequested{})
	refused := w.submit(w.entries[1], job)
	w.decideAll(w.entries[1])
	w.settle()
	mustOutcome(t, w, refused, specifier.NotRun, specifier.Stopping)
	mustOutcome(t, w, late, specifier.NotRun, specifier.Stopping)
	mustStart(t, w, job, 0)
	w.mustHold()
}

// Guards against a key that is accepted with another body.
func TestKeyIsNotReused(t *testing.T) {
	w := newWorld(t, 2, 2)
	job, other := newJob(0, 1), newJob(0, 2)
	first := w.submit(w.entries[0], job)
	here := w.submit(w.entries[0], other)
	w.decideAll(w.entries[0])
	there := w.submit(w.entries[1], other)
	w.settle()
	mustOutcome(t, w, first, specifier.Complete, "")
	mustOutcome(t, w, here, specifier.NotRun, specifier.KeyReused)
	mustOutcome(t, w, there, specifier.NotRun, specifier.KeyReused)
	w.mustHold()
}

// Guards against a repeat of a task whose worker was lost, unless the profile allows it.
func TestLostWorker(t *testing.T) {
	run := func(t *testing.T, job specifier.Job) specifier.Answer {
		w := newWorld(t, 1, 2)
		waiter := w.submit(w.entries[0], job)
		w.decideAll(w.entries[0])
		w.pump()
		w.killAgent(w.agents[0])
		w.settle()
		w.mustHold()
		must.Len(t, 1, w.replies[waiter])
		return w.replies[waiter][0]
	}
	t.Run("not repeatable", func(t *testing.T) {
		answer := run(t, newJob(0, 2))
		must.Eq(t, specifier.Fail(specifier.WorkerLost, answer.Detail, true), answer)
	})
	t.Run("repeatable", func(t *testing.T) {
		answer := run(t, newJob(2, 2))
		must.Eq(t, specifier.Complete, answer.Outcome)
		must.Len(t, 2, answer.Results)
	})
}

// Guards against an answer that contradicts what the former owner answered and could not record: it may
// have completed the job before a cancellation (found by seed 28024).
func TestCancelAfterLostOwner(t *testing.T) {
	w := newWorld(t, 2, 1)
	job := newJob(2, 1) // repeatable
	former, successor := w.entries[0], w.entries[1]
	w.submit(former, job)
	w.decideAll(former)
	w.pump()
	w.endAll()
	w.pump() // answered as Complete; the record of it is not decided
	w.killEntry(former)
	w.end(former.id)
	w.publish()
	waiter := w.submit(successor, job)
	w.decide(successor, false) // attached to an owner that is down
	w.killAgent(w.agents[0])
	w.decide(successor, false) // takes over, and asks an agent that is lost
	w.cancel(successor, job.ID)
	w.settle()
	mustOutcome(t, w, waiter, specifier.Failed, specifier.OwnerLost)
	w.mustHold()
}

// Guards against a deadline that the profile does not accept.
func TestProfileBoundsTheTimeLeft(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.apply(specifier.ChangeConfiguration{RequestID: "bound", Operator: "test", From: 1,
		Profiles: []specifier.Profile{{Name: "hold", Service: "s", MaxTimeLeft: 5 * time.Second}}})
	w.publish()
	waiter := w.submit(w.entries[0], newJob(0, 1)) // has 6 s
	w.settle()
	mustOutcome(t, w, waiter, specifier.NotRun, specifier.Invalid)
}

// Guards against a loss of workers that multiplies the load: repeats end with the retry budget.
func TestRepeatsEndWithTheBudget(t *testing.T) {
	w := newWorld(t, 1, 2)
	failed := 0
	for i := range 20 {
		job := newJob(2+3*i, 2) // repeatable
		waiter := w.submit(w.entries[0], job)
		w.decideAll(w.entries[0])
		w.pump()
		victim := w.agents[i%2]
		for len(victim.running) == 0 {
			victim = w.agents[(i+1)%2]
		}
		w.killAgent(victim)
		w.settle()
		must.Len(t, 1, w.replies[waiter])
		if w.replies[waiter][0].Reason == specifier.WorkerLost {
			failed++
		}
	}
	must.Positive(t, failed) // 11 repeats at once, and one for each ten first attempts
	w.mustHold()
}

// Guards against a cancellation that is lost, or that lets a late submission run.
func TestCancel(t *testing.T) {
	t.Run("before it is submitted", func(t *testing.T) {
		w := newWorld(t, 2, 2)
		job := newJob(0, 2)
		w.cancel(w.entries[0], job.ID)
		w.decideAll(w.entries[0])
		waiter := w.submit(w.entries[1], job)
		w.settle()
		mustOutcome(t, w, waiter, specifier.NotRun, specifier.Cancelled)
		mustStart(t, w, job, 0)
	})
	t.Run("while it runs, through another entry", func(t *testing.T) {
		w := newWorld(t, 2, 2)
		job := newJob(0, 2)
		waiter := w.submit(w.entries[0], job)
		w.decideAll(w.entries[0])
		w.pump()
		w.cancel(w.entries[1], job.ID)
		w.settle()
		mustOutcome(t, w, waiter, specifier.Failed, specifier.Cancelled)
		w.mustHold()
	})
}
