package leaseholder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// fixture drives a lease holder on a clock that only the test advances.
type fixture struct {
	t           *testing.T
	holder      *LeaseHolder
	now         time.Time
	workerStart time.Time
	actions     []Action
}

// newFixture returns a lease holder that has a grant and whose worker has answered.
func newFixture(t *testing.T) *fixture {
	start := time.Unix(1000, 0)
	f := &fixture{t: t, now: start, workerStart: start.Add(-time.Hour),
		holder: &LeaseHolder{Name: "agent", Incarnation: 1, GrantSpan: 1200 * time.Millisecond, MaxLease: time.Second, StartedAt: start}}
	f.step(Connected{})
	f.step(f.announcement())
	f.step(OrderReceived{specifier.LeaseOrder{Token: 1, GrantedRenewal: f.holder.renewal}})
	f.identifyWorker()
	f.answerPolls(nil, nil)
	return f
}

// announcement returns the first announcement of the worker's present incarnation.
func (f *fixture) announcement() Announced {
	return Announced{Sequence: 1, Worker: specifier.LeasedWorker{ID: "w", StartedAt: f.workerStart, Capacity: specifier.Resources{MilliCores: 1000}}}
}

// identifyWorker answers the questions of the last step for the worker's incarnation, and those that follow. The actions of all these steps
// count as those of the last one.
func (f *fixture) identifyWorker() {
	actions := f.actions
	for asked := find[Identify](actions); len(asked) > 0; asked = find[Identify](f.actions) {
		answer := f.answer()
		answer.OtherIncarnation = asked[0].WorkerID != "w"
		f.step(Identified{answer})
		actions = append(actions, f.actions...)
	}
	f.actions = actions
}

func (f *fixture) step(event Event) { f.actions = f.holder.Step(f.now, event) }

func (f *fixture) answer() Answer {
	return Answer{CalledAt: f.now, Clock: f.now.Sub(f.workerStart), StartedAt: f.workerStart}
}

// answerPolls answers the polls of the last step.
func (f *fixture) answerPolls(runs []specifier.LeasedRun, ends []specifier.RunEnd) {
	for _, poll := range find[Poll](f.actions) {
		f.step(PollResult{Answer: f.answer(), Immediate: poll.Immediate, Token: poll.Token, Completeness: ListComplete, Runs: runs, Ends: ends})
	}
}

func (f *fixture) order(run uint64) {
	f.step(OrderReceived{specifier.LeaseOrder{Token: 1, OrderCount: run, Starts: []specifier.RunStart{{Key: key(run)}}}})
}

func key(run uint64) specifier.RunKey { return specifier.RunKey{Task: "job.0.0.0", Run: run} }

// find returns the actions of one kind.
func find[T any](actions []Action) []T {
	var found []T
	for _, action := range actions {
		if one, ok := action.(T); ok {
			found = append(found, one)
		}
	}
	return found
}

// mustRefuse requires a report of one refused start.
func (f *fixture) mustRefuse(kind specifier.EndKind) {
	f.t.Helper()
	var refused []specifier.RunEnd
	for _, report := range find[Report](f.actions) {
		refused = append(refused, report.Report.RefusedStarts...)
	}
	must.SliceLen(f.t, 1, refused)
	must.Eq(f.t, kind, refused[0].Kind)
}

// TestLeaseEndsWithTheGrant guards against a lease that outlasts the controller's grant: after the grant, the task may
// be started elsewhere.
func TestLeaseEndsWithTheGrant(t *testing.T) {
	f := newFixture(t)
	f.now = f.now.Add(900 * time.Millisecond)
	f.holder.answeredAt = f.now
	f.order(1)
	starts := find[Start](f.actions)
	must.SliceLen(t, 1, starts)
	left := starts[0].LeaseEnd - f.now.Sub(f.workerStart)
	must.LessEq(t, 300*time.Millisecond, left)
}

func TestStartsRefusedByTheAgent(t *testing.T) {
	t.Run("after the grant", func(t *testing.T) { // guards against a start for a controller that may have lost its leadership
		f := newFixture(t)
		f.now = f.now.Add(1300 * time.Millisecond)
		f.order(1)
		must.SliceEmpty(t, find[Start](f.actions))
		f.mustRefuse(specifier.EndRefusedLate)
	})
	t.Run("while the worker drains", func(t *testing.T) { // guards against new work on a worker that is shutting down
		f := newFixture(t)
		f.step(Announced{Sequence: 2, Worker: specifier.LeasedWorker{ID: "w", StartedAt: f.workerStart, Draining: true}})
		f.order(1)
		f.mustRefuse(specifier.EndRefusedLate)
	})
	t.Run("of an earlier controller", func(t *testing.T) { // guards against two controllers that start the same task
		f := newFixture(t)
		f.step(OrderReceived{specifier.LeaseOrder{Token: 5}})
		f.order(1)
		must.SliceEmpty(t, find[Start](f.actions))
	})
}

// TestUnansweredStart guards against a run that is treated as ended although it may still begin, and against a run that is
// no longer tracked. Both could follow from a start whose answer is lost.
func TestUnansweredStart(t *testing.T) {
	f := newFixture(t)
	f.order(1)
	f.step(Started{Answer: Answer{CalledAt: f.now, Lost: true}, Key: key(1)})
	polls := find[Poll](f.actions)
	must.SliceLen(t, 1, polls)
	must.True(t, polls[0].Immediate)
	f.answerPolls(nil, nil)
	must.SliceLen(t, 1, find[Stop](f.actions))
	must.False(t, f.holder.Idle())
	f.now = f.now.Add(time.Millisecond)
	f.step(Stopped{Answer: f.answer(), Key: key(1)})
	f.now = f.now.Add(time.Millisecond)
	f.answerPolls(nil, nil)
	f.mustRefuse(specifier.EndUnanswered)
	must.True(t, f.holder.Idle())
}

// TestLostPollIsRepeatedImmediately guards against ends that are noticed half a second late because the answer to one poll
// was lost.
func TestLostPollIsRepeatedImmediately(t *testing.T) {
	f := newFixture(t)
	must.True(t, f.holder.polling)
	f.step(PollResult{Answer: Answer{CalledAt: f.now, Lost: true}})
	must.SliceLen(t, 1, find[Poll](f.actions))
	must.LessEq(t, 100*time.Millisecond, find[Poll](f.actions)[0].Wait)
}

// TestTokenRisesWithEachIncarnation guards against a restarted worker that carries out a start which was meant for its
// earlier incarnation.
func TestTokenRisesWithEachIncarnation(t *testing.T) {
	f := newFixture(t)
	before := f.holder.workerToken()
	f.workerStart = f.now
	f.step(PollResult{Answer: f.answer(), Token: before, Completeness: ListComplete})
	must.Greater(t, before, f.holder.workerToken())
	must.False(t, f.holder.allRunsKnown())
}

// TestListedRunIsBeingStopped guards against a leader that can't tell an order to stop a run that was lost from one that is being carried out.
func TestListedRunIsBeingStopped(t *testing.T) {
	listed := func(f *fixture) specifier.LeasedRun {
		f.now = f.now.Add(renewInterval)
		f.actions = f.holder.Expire(f.now)
		reports := find[Report](f.actions)
		must.SliceLen(t, 1, reports)
		must.SliceLen(t, 1, reports[0].Report.Runs)
		return reports[0].Report.Runs[0]
	}
	f := newFixture(t)
	f.order(1)
	f.step(Started{Answer: f.answer(), Key: key(1)})
	must.False(t, listed(f).Stopping)
	f.step(OrderReceived{specifier.LeaseOrder{Token: 1, OrderCount: 2, Stops: []specifier.RunKey{key(1)}}})
	must.SliceLen(t, 1, find[Stop](f.actions))
	must.True(t, listed(f).Stopping)
}
