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

// mustStart checks how many task starts of a job reached an upstream.
func mustStart(t *testing.T, c *cluster, job specifier.Job, want int) {
	t.Helper()
	starts := 0
	for _, event := range c.events {
		if event.Job == job.ID && event.Kind == recorder.TaskStarted {
			starts++
		}
	}
	must.Eq(t, want, starts)
}

// decideAll commits every command that an entry has proposed.
func (c *cluster) decideAll(e *entryNode) {
	for len(e.proposals) > 0 && !e.partitioned {
		c.decide(e, false)
	}
}

// deliverAll delivers every message in transit between entries and agents.
func (c *cluster) deliverAll() {
	for _, s := range c.liveStreams() {
		for s.open && len(s.toAgent)+len(s.toEntry) > 0 {
			c.deliver(s)
		}
	}
}

// endAllRuns ends every running upstream call with a result.
func (c *cluster) endAllRuns() {
	for _, a := range c.agents {
		for a.alive && len(a.running) > 0 {
			c.endRun(a, 0, executor.RunEnded{})
		}
	}
}

// TestJobRunsOnce guards against a lost or duplicated step when nothing fails.
func TestJobRunsOnce(t *testing.T) {
	c := newCluster(t, 2, 2)
	job := newJob(0, 3)
	first := c.submit(c.entries[0], job)
	c.decideAll(c.entries[0])
	second := c.submit(c.entries[1], job)
	c.decideAll(c.entries[1])
	c.deliverAll()
	c.endAllRuns()
	c.deliverAll()
	mustOutcome(t, c, first, specifier.Complete, "")
	mustOutcome(t, c, second, specifier.Complete, "")
	must.Len(t, 3, c.replies[second][0].Results)
	mustStart(t, c, job, 3)
	c.mustKeepGuarantees()
}

// TestReportDoesNotCoverLaterAssignments guards against a second start when an agent's report crosses an assignment:
// the report does not cover a task that was sent after the fence (found by seed 149).
func TestReportDoesNotCoverLaterAssignments(t *testing.T) {
	c := newCluster(t, 1, 2)
	e := c.entries[0]
	job := newJob(0, 6) // more tasks than slots, so that some wait at the entry
	c.submit(e, job)
	c.decideAll(e)
	s := c.stream(e, c.agents[0])
	c.disconnect(s, 0)
	c.connect(s) // sends a fence; the report is still in transit
	c.deliverAll()
	c.endAllRuns()
	c.deliverAll()
	c.recoverAll()
	mustStart(t, c, job, 6)
	c.mustKeepGuarantees()
}

// TestUndetectedTakeoverIsCollected guards against a new run under the epoch of a takeover whose decision was lost: the
// tasks may have started under the former owner (found by seed 2139).
func TestUndetectedTakeoverIsCollected(t *testing.T) {
	c := newCluster(t, 2, 2)
	job := newJob(0, 2)
	c.submit(c.entries[0], job)
	c.decideAll(c.entries[0])
	c.deliverAll()
	c.killEntry(c.entries[0])
	c.recordDown(c.entries[0].id)
	c.publish()
	successor := c.entries[1]
	c.submit(successor, job)
	c.decide(successor, false) // attaches to an owner that is down
	c.decide(successor, true)  // the decision on the takeover is lost
	for range 60 {
		c.tick(100 * time.Millisecond) // the decision timeout passes: the caller is answered, and this entry drops the job
	}
	c.submit(successor, job)
	c.openRequests = nil
	c.recoverAll()
	mustStart(t, c, job, 2)
	c.mustKeepGuarantees()
}

// TestExpelledEntryStopsDispatching guards against an entry that continues to send tasks after it was recorded as Down:
// an agent that joined later was not fenced by the entry that took over the job.
func TestExpelledEntryStopsDispatching(t *testing.T) {
	c := newCluster(t, 2, 1)
	former, successor := c.entries[0], c.entries[1]
	job := newJob(0, 8)
	c.submit(former, job)
	c.decideAll(former)
	c.deliverAll()
	former.partitioned = true
	c.recordDown(former.id)
	c.publish()
	c.submit(successor, job)
	c.decideAll(successor)
	c.deliverAll()
	c.agents = append(c.agents, &agentNode{})
	c.startAgent(1)
	c.connect(c.stream(former, c.agents[1])) // delivers the membership in which the entry is Down
	c.deliverAll()
	c.recoverAll()
	mustStart(t, c, job, 8)
	c.mustKeepGuarantees()
}

// TestStaleEntryDoesNotRefuse guards against a refusal under a configuration that is no longer in force (found by seed
// 803).
func TestStaleEntryDoesNotRefuse(t *testing.T) {
	c := newCluster(t, 1, 2)
	e := c.entries[0]
	c.killEntry(e)
	c.recordDown(e.id)
	c.startEntry(0) // the restarted entry has no configuration yet
	job := newJob(0, 1)
	waiter := c.submit(e, job)
	c.recoverAll()
	mustOutcome(t, c, waiter, specifier.Complete, "")
	c.mustKeepGuarantees()
}

// TestRefusalChecksTheRecord guards against a NotRun answer for a key whose job runs at another entry.
func TestRefusalChecksTheRecord(t *testing.T) {
	c := newCluster(t, 2, 2)
	job := newJob(0, 1)
	first := c.submit(c.entries[0], job)
	c.decideAll(c.entries[0])
	c.stepEntry(c.entries[1], coordinator.DrainRequested{})
	second := c.submit(c.entries[1], job)
	c.recoverAll()
	mustOutcome(t, c, first, specifier.Complete, "")
	mustOutcome(t, c, second, specifier.Complete, "")
	c.mustKeepGuarantees()
}

// TestRefusalCoversCopiesInTransit guards against running a delayed copy of a request after another copy was
// refused.
func TestRefusalCoversCopiesInTransit(t *testing.T) {
	c := newCluster(t, 2, 2)
	job := newJob(0, 1)
	late := c.submit(c.entries[0], job) // proposed but not decided
	c.stepEntry(c.entries[1], coordinator.DrainRequested{})
	refused := c.submit(c.entries[1], job)
	c.decideAll(c.entries[1])
	c.recoverAll()
	mustOutcome(t, c, refused, specifier.NotRun, specifier.Stopping)
	mustOutcome(t, c, late, specifier.NotRun, specifier.Stopping)
	mustStart(t, c, job, 0)
	c.mustKeepGuarantees()
}

// TestKeyIsNotReused guards against accepting a key again with a different body.
func TestKeyIsNotReused(t *testing.T) {
	c := newCluster(t, 2, 2)
	job, other := newJob(0, 1), newJob(0, 2)
	first := c.submit(c.entries[0], job)
	here := c.submit(c.entries[0], other)
	c.decideAll(c.entries[0])
	there := c.submit(c.entries[1], other)
	c.recoverAll()
	mustOutcome(t, c, first, specifier.Complete, "")
	mustOutcome(t, c, here, specifier.NotRun, specifier.KeyReused)
	mustOutcome(t, c, there, specifier.NotRun, specifier.KeyReused)
	c.mustKeepGuarantees()
}

// TestLostWorker guards against retrying a task whose worker was lost, unless the profile allows it.
func TestLostWorker(t *testing.T) {
	run := func(t *testing.T, job specifier.Job) specifier.Answer {
		c := newCluster(t, 1, 2)
		waiter := c.submit(c.entries[0], job)
		c.decideAll(c.entries[0])
		c.deliverAll()
		c.killAgent(c.agents[0])
		c.recoverAll()
		c.mustKeepGuarantees()
		must.Len(t, 1, c.replies[waiter])
		return c.replies[waiter][0]
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

// TestCancelAfterLostOwner guards against an answer that contradicts an answer of the former owner that was not
// recorded: the former owner may have completed the job before the cancellation (found by seed 28024).
func TestCancelAfterLostOwner(t *testing.T) {
	c := newCluster(t, 2, 1)
	job := newJob(2, 1) // repeatable
	former, successor := c.entries[0], c.entries[1]
	c.submit(former, job)
	c.decideAll(former)
	c.deliverAll()
	c.endAllRuns()
	c.deliverAll() // the caller gets Complete; FinishJob is not decided
	c.killEntry(former)
	c.recordDown(former.id)
	c.publish()
	waiter := c.submit(successor, job)
	c.decide(successor, false) // attaches to an owner that is down
	c.killAgent(c.agents[0])
	c.decide(successor, false) // takes over and sends a fence to an agent that is lost
	c.cancel(successor, job.ID)
	c.recoverAll()
	mustOutcome(t, c, waiter, specifier.Failed, specifier.OwnerLost)
	c.mustKeepGuarantees()
}

// TestProfileBoundsTheTimeLeft guards against accepting a deadline beyond the profile's MaxTimeLeft.
func TestProfileBoundsTheTimeLeft(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.apply(specifier.ChangeConfiguration{RequestID: "bound", Operator: "test", From: 1,
		Profiles: []specifier.Profile{{Name: "hold", Service: "s", MaxTimeLeft: 5 * time.Second}}})
	c.publish()
	waiter := c.submit(c.entries[0], newJob(0, 1)) // submit sets the deadline 6 s ahead
	c.recoverAll()
	mustOutcome(t, c, waiter, specifier.NotRun, specifier.Invalid)
}

// TestRepeatsEndWithTheBudget guards against worker losses that multiply the load: retries stop when the retry budget
// is spent.
func TestRepeatsEndWithTheBudget(t *testing.T) {
	c := newCluster(t, 1, 2)
	failed := 0
	for i := range 20 {
		job := newJob(2+3*i, 2) // repeatable
		waiter := c.submit(c.entries[0], job)
		c.decideAll(c.entries[0])
		c.deliverAll()
		victim := c.agents[i%2]
		for len(victim.running) == 0 {
			victim = c.agents[(i+1)%2]
		}
		c.killAgent(victim)
		c.recoverAll()
		must.Len(t, 1, c.replies[waiter])
		if c.replies[waiter][0].Reason == specifier.WorkerLost {
			failed++
		}
	}
	must.Positive(t, failed) // the budget allows 11 immediate retries, plus one for every ten first attempts
	c.mustKeepGuarantees()
}

// TestCancel guards against a lost cancellation, and against running a job that is submitted after its cancellation.
func TestCancel(t *testing.T) {
	t.Run("before it is submitted", func(t *testing.T) {
		c := newCluster(t, 2, 2)
		job := newJob(0, 2)
		c.cancel(c.entries[0], job.ID)
		c.decideAll(c.entries[0])
		waiter := c.submit(c.entries[1], job)
		c.recoverAll()
		mustOutcome(t, c, waiter, specifier.NotRun, specifier.Cancelled)
		mustStart(t, c, job, 0)
	})
	t.Run("while it runs, through another entry", func(t *testing.T) {
		c := newCluster(t, 2, 2)
		job := newJob(0, 2)
		waiter := c.submit(c.entries[0], job)
		c.decideAll(c.entries[0])
		c.deliverAll()
		c.cancel(c.entries[1], job.ID)
		c.recoverAll()
		mustOutcome(t, c, waiter, specifier.Failed, specifier.Cancelled)
		c.mustKeepGuarantees()
	})
}
