package leaseholder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// listCut answers the polls of the last step with a list of ends that continues after the given ones.
func (f *fixture) listCut(ends ...specifier.RunEnd) {
	f.now = f.now.Add(time.Millisecond)
	var actions []Action
	for _, poll := range find[Poll](f.actions) {
		f.step(PollResult{Answer: f.answer(), Immediate: poll.Immediate, Token: poll.Token, Ends: ends})
		actions = append(actions, f.actions...)
	}
	f.actions = actions
}

// listRest acknowledges an end, and answers a poll with the last page, which holds the end after that one.
func (f *fixture) listRest(acknowledged uint64, rest specifier.RunEnd) {
	f.now = f.now.Add(time.Millisecond)
	f.step(OrderReceived{specifier.LeaseOrder{Token: f.holder.token, AcknowledgedEnd: acknowledged, AcknowledgedWorkerStart: f.workerStart}})
	must.Eq(f.t, acknowledged, f.holder.acknowledged)
	f.step(PollResult{Answer: f.answer(), Token: f.holder.workerToken(), Completeness: ListComplete, Ends: []specifier.RunEnd{rest}})
}

// mustReport requires that the next renewal tells whether every run at the worker is known, and whether ends are missing.
func (f *fixture) mustReport(known, endsCut bool) {
	f.t.Helper()
	f.now = later(f.now, f.holder.renewAt)
	reports := find[Report](f.holder.Expire(f.now))
	must.SliceLen(f.t, 1, reports)
	must.Eq(f.t, known, reports[0].Report.AllRunsKnown)
	must.Eq(f.t, endsCut, reports[0].Report.EndsCut)
}

// mustReportEnd requires that the last step has reported the end.
func (f *fixture) mustReportEnd(end specifier.RunEnd) {
	f.t.Helper()
	reports := find[Report](f.actions)
	must.Positive(f.t, len(reports))
	must.Eq(f.t, []specifier.RunEnd{end}, reports[0].Report.Ends)
}

// mustLog requires that the last step has logged the event.
func (f *fixture) mustLog(event string) {
	f.t.Helper()
	var logged []string
	for _, each := range find[LogEvent](f.actions) {
		logged = append(logged, each.Event)
	}
	must.SliceContains(f.t, logged, event)
}

// restart replaces the agent's process by one that has not heard from its worker yet.
func (f *fixture) restart() {
	f.holder = &LeaseHolder{Name: "agent", Incarnation: 2, GrantSpan: f.holder.GrantSpan, MaxLease: f.holder.MaxLease, StartedAt: f.now}
	f.step(Connected{})
	f.step(OrderReceived{specifier.LeaseOrder{Token: 2, GrantedRenewal: f.holder.renewal}})
}

// Guards against a second run of a task whose end the worker holds but had no room for in its answer.
func TestCutListOfEnds(t *testing.T) {
	first, rest := specifier.RunEnd{Number: 1, Key: key(1), Kind: specifier.EndDone}, specifier.RunEnd{Number: 2, Key: key(2), Kind: specifier.EndDone}
	t.Run("the agent was restarted", func(t *testing.T) { // its worker announces itself later
		f := newFixture(t)
		f.restart()
		f.mustReport(false, false)
		f.listCut(first)
		f.mustLog("EndsCut")
		f.mustReport(false, true)
		f.listRest(1, rest)
		f.mustReportEnd(rest)
		f.mustLog("EndsListed")
		f.mustReport(true, false)
	})
	t.Run("another controller leads", func(t *testing.T) { // which learns of all runs at once: this process has followed them from their starts
		f := newFixture(t)
		f.step(OrderReceived{specifier.LeaseOrder{Token: 2, GrantedRenewal: f.holder.renewal}})
		f.mustReport(false, false)
		f.listCut(first)
		f.mustReport(true, false)
	})
	t.Run("the worker was restarted", func(t *testing.T) { // it ran nothing, so its first list is not cut
		f := newFixture(t)
		f.workerStart = f.now
		f.step(f.announcement())
		f.identifyWorker()
		f.mustReport(false, false)
		f.answerPolls(nil, nil)
		f.mustReport(true, false)
	})
	t.Run("a start was not answered", func(t *testing.T) {
		f := newFixture(t)
		f.order(2)
		f.step(Started{Answer: Answer{CalledAt: f.now, Lost: true}, Key: key(2)})
		f.listCut(first)
		must.SliceLen(t, 1, find[Stop](f.actions))
		f.now = f.now.Add(time.Millisecond)
		f.step(Stopped{Answer: f.answer(), Key: key(2)})
		f.listCut(first)
		must.MapContainsKey(t, f.holder.runs, key(2))
		f.listRest(1, rest)
		f.mustReportEnd(rest)
	})
	t.Run("a start was not answered, and its lease has ended", func(t *testing.T) {
		f := newFixture(t)
		f.order(2)
		f.step(Started{Answer: Answer{CalledAt: f.now, Lost: true}, Key: key(2)})
		f.now = f.now.Add(f.holder.MaxLease)
		f.listCut(first)
		must.MapContainsKey(t, f.holder.runs, key(2))
	})
}

// Guards against an agent that leaves while its worker holds ends that it has not listed, whose tasks are then started again elsewhere.
func TestAgentWithACutListIsNotIdle(t *testing.T) {
	f := newFixture(t)
	first, rest := specifier.RunEnd{Number: 1, Key: key(1), Kind: specifier.EndDone}, specifier.RunEnd{Number: 2, Key: key(2), Kind: specifier.EndDone}
	f.restart()
	f.listCut(first)
	f.step(OrderReceived{specifier.LeaseOrder{Token: 2, AcknowledgedEnd: 1, AcknowledgedWorkerStart: f.workerStart}})
	must.False(t, f.holder.Idle())
	f.listRest(1, rest)
	f.step(OrderReceived{specifier.LeaseOrder{Token: 2, AcknowledgedEnd: 2, AcknowledgedWorkerStart: f.workerStart}})
	must.True(t, f.holder.Idle())
}

// Guards against an agent that takes every lease for ended while its worker, which does not answer, may still hold one: a poll whose answer was
// lost has extended it, so that an end which was not listed is not void yet.
func TestLeaseOfAnUnansweredPoll(t *testing.T) {
	f := newFixture(t)
	f.restart()
	f.listCut(specifier.RunEnd{Number: 1, Key: key(1), Kind: specifier.EndDone})
	f.now = f.now.Add(workerTimeout - time.Millisecond)
	f.holder.Expire(f.now)
	f.step(OrderReceived{specifier.LeaseOrder{Token: 2, GrantedRenewal: f.holder.renewal}})
	f.step(PollResult{Answer: Answer{CalledAt: f.now, Lost: true}})
	polls := find[Poll](f.actions)
	must.SliceLen(t, 1, polls)
	must.Positive(t, polls[0].LeaseEnd)
	f.now = f.holder.answeredAt.Add(settleDelay)
	must.Less(t, polls[0].LeaseEnd, f.now.Sub(f.workerStart)) // the lease goes on
	f.mustReport(false, true)
	f.now = f.holder.clock.reachedBy(polls[0].LeaseEnd).Add(lapseMargin)
	f.mustReport(true, true)
}

// Guards against an acknowledgement that deletes the ends of another incarnation of the worker.
func TestAcknowledgementOfAnotherIncarnation(t *testing.T) {
	f := newFixture(t)
	f.restart()
	f.answerPolls(nil, []specifier.RunEnd{{Number: 1, Key: key(1), Kind: specifier.EndDone}})
	f.step(OrderReceived{specifier.LeaseOrder{Token: 2, AcknowledgedEnd: 1, AcknowledgedWorkerStart: f.workerStart.Add(-time.Hour)}})
	must.False(t, f.holder.Idle())
	f.step(OrderReceived{specifier.LeaseOrder{Token: 2, AcknowledgedEnd: 1, AcknowledgedWorkerStart: f.workerStart}})
	must.True(t, f.holder.Idle())
}
