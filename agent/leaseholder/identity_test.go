package leaseholder

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// foreign returns an announcement of a worker that is not the agent's.
func foreign(id string, startedAt time.Time) Announced {
	return Announced{Sequence: 4, Worker: specifier.LeasedWorker{ID: id, StartedAt: startedAt, Capacity: specifier.Resources{MilliCores: 64000}}}
}

// newAgent returns a lease holder that has a grant and has not heard from its worker.
func newAgent(t *testing.T) *fixture {
	f := newFixture(t)
	f.restart()
	return f
}

// orderNext orders a start under the agent's present token.
func (f *fixture) orderNext() {
	run := f.holder.orders + 1
	f.step(OrderReceived{specifier.LeaseOrder{Token: f.holder.token, OrderCount: run, Starts: []specifier.RunStart{{Key: key(run)}}}})
}

// mustStartAt requires that an ordered start is sent to the worker with the ID.
func (f *fixture) mustStartAt(id string) {
	f.t.Helper()
	f.orderNext()
	starts := find[Start](f.actions)
	must.SliceLen(f.t, 1, starts)
	must.Eq(f.t, id, starts[0].WorkerID)
}

// mustPoll requires that the next poll asks the worker with the ID and extends the leases of its runs.
func (f *fixture) mustPoll(id string) {
	f.t.Helper()
	f.now = f.now.Add(pollWait)
	f.step(PollResult{Answer: f.answer(), Token: f.holder.workerToken(), Completeness: ListComplete})
	polls := find[Poll](f.actions)
	must.SliceLen(f.t, 1, polls)
	must.Eq(f.t, id, polls[0].WorkerID)
	must.Positive(f.t, polls[0].LeaseEnd)
}

// Guards against an agent that leaves its worker for one that another writer has announced, and never returns to its own.
func TestAnnouncementOfAnotherWriter(t *testing.T) {
	for name, odd := range map[string]Announced{
		"with a later start":               foreign("other", time.Unix(1000, 0)),
		"with an earlier start":            foreign("other", time.Unix(-9000, 0)),
		"with the start of the worker":     foreign("other", time.Unix(1000, 0).Add(-time.Hour)),
		"with the ID of the worker":        foreign("w", time.Unix(1000, 0)),
		"delayed from an earlier start":    foreign("w", time.Unix(-9000, 0)),
		"with a start far in the future":   foreign("other", time.Unix(4e9, 0)),
		"with the ID and a far-off future": foreign("w", time.Unix(4e9, 0)),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.step(odd)
			f.identifyWorker()
			f.mustLog("AnnouncementRefuted")
			f.mustPoll("w")
			f.mustStartAt("w")
		})
		t.Run(name+", to a new agent", func(t *testing.T) {
			f := newAgent(t)
			f.step(odd)
			f.identifyWorker()
			f.answerPolls(nil, nil)
			must.Eq(t, "", f.holder.WorkerID())
			f.step(f.announcement())
			f.identifyWorker()
			f.mustStartAt("w")
		})
	}
	t.Run("one before and many after the worker's own", func(t *testing.T) { // guards against announcements that push out that of the worker
		f := newAgent(t)
		f.step(foreign("other", f.now))
		asked := f.actions
		f.step(f.announcement())
		for i := range 3 * maxUnconfirmed {
			f.step(foreign(fmt.Sprint(i), f.now))
		}
		must.SliceLen(t, maxUnconfirmed, f.holder.unconfirmed)
		f.actions = asked
		f.identifyWorker()
		must.SliceEmpty(t, f.holder.unconfirmed)
		f.mustStartAt("w")
	})
	t.Run("the worker goes on running", func(t *testing.T) { // guards against runs that are given up
		f := newFixture(t)
		f.order(1)
		f.step(Started{Answer: f.answer(), Key: key(1)})
		f.step(foreign("other", f.now))
		f.identifyWorker()
		must.MapContainsKey(t, f.holder.runs, key(1))
		must.SliceEmpty(t, find[Report](f.actions))
	})
}

// Guards against a worker that is not used, or is used wrongly, because the question for its incarnation met a fault.
func TestConfirmationOfAnAnnouncement(t *testing.T) {
	asked := func(t *testing.T) *fixture { // a new incarnation with another ID has announced itself
		f := newAgent(t)
		f.step(f.announcement())
		must.SliceLen(t, 1, find[Identify](f.actions))
		return f
	}
	for name, answer := range map[string]func(f *fixture) Answer{
		"no answer":                 func(f *fixture) Answer { return Answer{CalledAt: f.now, Lost: true} },
		"an answer without a start": func(f *fixture) Answer { return Answer{CalledAt: f.now, Clock: time.Second} },
		"an answer without a body":  func(f *fixture) Answer { return Answer{CalledAt: f.now} },
	} {
		t.Run(name, func(t *testing.T) {
			f := asked(t)
			f.step(Identified{answer(f)})
			must.SliceEmpty(t, find[Identify](f.actions)) // it is not asked without a pause
			f.step(PollResult{Answer: f.answer(), Token: f.holder.workerToken(), Completeness: ListComplete})
			must.SliceLen(t, 1, find[Identify](f.actions))
			f.identifyWorker()
			f.mustStartAt("w")
		})
	}
	t.Run("another announcement never gets a conclusive answer", func(t *testing.T) { // guards against a worker that waits behind it for good
		f := newAgent(t)
		for i := range maxUnconfirmed {
			f.step(foreign(fmt.Sprint(i), f.now))
		}
		f.step(Identified{Answer{CalledAt: f.now, Lost: true}})
		f.now = f.now.Add(confirmationTimeout - time.Millisecond)
		f.step(f.announcement()) // there is no room
		must.SliceLen(t, maxUnconfirmed, f.holder.unconfirmed)
		f.step(Identified{Answer{CalledAt: f.now, Lost: true}})
		f.now = f.now.Add(time.Millisecond)
		f.step(f.announcement())
		must.SliceLen(t, 1, f.holder.unconfirmed)
		f.identifyWorker()
		must.Eq(t, "w", f.holder.WorkerID())
	})
	t.Run("a later announcement of the same incarnation", func(t *testing.T) { // guards against a start at a worker that drains
		f := asked(t)
		draining := f.announcement()
		draining.Sequence, draining.Worker.Draining = 2, true
		question := f.actions
		f.step(draining)
		f.actions = question
		f.identifyWorker()
		f.orderNext()
		f.mustRefuse(specifier.EndRefusedLate)
	})
	t.Run("it departs meanwhile", func(t *testing.T) { // guards against a start at a worker that has left
		f := asked(t)
		question := f.actions
		f.step(Departed{ID: "w"})
		f.actions = question
		f.identifyWorker()
		f.orderNext()
		f.mustRefuse(specifier.EndRefusedLate)
	})
	t.Run("before the first token", func(t *testing.T) { // guards against a worker that is not asked once there is one
		f := newFixture(t)
		f.holder = &LeaseHolder{Name: "agent", Incarnation: 2, GrantSpan: f.holder.GrantSpan, MaxLease: f.holder.MaxLease, StartedAt: f.now}
		f.step(Connected{})
		f.step(f.announcement())
		must.SliceEmpty(t, find[Identify](f.actions))
		f.step(OrderReceived{specifier.LeaseOrder{Token: 2, GrantedRenewal: f.holder.renewal}})
		f.identifyWorker()
		f.mustStartAt("w")
	})
	listed := func(t *testing.T) (*fixture, []Action) { // the worker has listed its runs; the question for its incarnation is under way
		f := newAgent(t)
		f.step(f.announcement())
		question := f.actions
		for range 2 { // the first answer tells the incarnation, which the second poll fences off
			f.step(PollResult{Answer: f.answer(), Immediate: true, Token: f.holder.workerToken(), Completeness: ListComplete})
			must.SliceEmpty(t, find[Report](f.actions))
		}
		must.True(t, f.holder.allRunsKnown())
		return f, question
	}
	mustReportListed := func(f *fixture, worker *specifier.LeasedWorker) {
		f.t.Helper()
		reports := find[Report](f.actions)
		must.SliceLen(f.t, 1, reports)
		must.True(f.t, reports[0].Report.AllRunsKnown)
		must.Eq(f.t, worker, reports[0].Report.Worker)
	}
	t.Run("with all runs known", func(t *testing.T) { // guards against a leader that dismisses the agent, since it has no runs and no worker
		f, question := listed(t)
		f.actions = question
		f.identifyWorker()
		worker := f.announcement().Worker
		mustReportListed(f, &worker)
	})
	t.Run("with all runs known and no answer", func(t *testing.T) { // guards against a report that is held back for good
		f, _ := listed(t)
		f.step(Identified{Answer{CalledAt: f.now, Lost: true}})
		mustReportListed(f, nil)
	})
	t.Run("time until full speed", func(t *testing.T) { // guards against a worker that counts as cold for longer than it announced
		f := newAgent(t)
		cold := f.announcement()
		cold.Worker.ColdFor = 3 * time.Second
		f.step(cold)
		question := f.actions
		f.now = f.now.Add(time.Second)
		f.actions = question
		f.identifyWorker()
		must.Eq(t, 2*time.Second, f.holder.describeWorker().ColdFor)
	})
}
