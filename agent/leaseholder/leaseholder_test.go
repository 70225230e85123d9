package leaseholder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// bench drives a lease holder on a held clock.
type bench struct {
	t       *testing.T
	holder  *LeaseHolder
	now     time.Time
	born    time.Time
	actions []Action
}

// newBench returns a lease holder with a worker that has answered and a grant.
func newBench(t *testing.T) *bench {
	start := time.Unix(1000, 0)
	b := &bench{t: t, now: start, born: start.Add(-time.Hour),
		holder: &LeaseHolder{Name: "agent", Incarnation: 1, GrantSpan: 1200 * time.Millisecond, MaxLease: time.Second, StartedAt: start}}
	b.step(Connected{})
	b.step(Announced{Sequence: 1, Worker: specifier.LeasedWorker{ID: "w", Born: b.born, Capacity: specifier.Resources{MilliCores: 1000}}})
	b.step(OrderReceived{specifier.LeaseOrder{Token: 1, Granted: b.holder.renewal}})
	b.answerHolds(nil, nil)
	return b
}

func (b *bench) step(event Event) { b.actions = b.holder.Step(b.now, event) }

func (b *bench) answer() Answer { return Answer{CalledAt: b.now, Clock: b.now.Sub(b.born), StartedAt: b.born} }

// answerHolds answers what was asked in the last step.
func (b *bench) answerHolds(runs []specifier.LeasedRun, ends []specifier.RunEnd) {
	for _, hold := range find[Poll](b.actions) {
		b.step(PollResult{Answer: b.answer(), Immediate: hold.Immediate, Token: hold.Token, EndsComplete: true, Runs: runs, Ends: ends})
	}
}

func (b *bench) order(run uint64) {
	b.step(OrderReceived{specifier.LeaseOrder{Token: 1, Orders: run, Starts: []specifier.RunStart{{Key: key(run)}}}})
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
func (b *bench) mustRefuse(how specifier.EndKind) {
	b.t.Helper()
	var refused []specifier.RunEnd
	for _, report := range find[Report](b.actions) {
		refused = append(refused, report.Report.Refused...)
	}
	must.SliceLen(b.t, 1, refused)
	must.Eq(b.t, how, refused[0].How)
}

// Guards against a lease beyond the grant of the controller, after which the task may be started elsewhere.
func TestLeaseEndsWithTheGrant(t *testing.T) {
	b := newBench(t)
	b.now = b.now.Add(900 * time.Millisecond)
	b.holder.answered = b.now
	b.order(1)
	starts := find[Start](b.actions)
	must.SliceLen(t, 1, starts)
	left := starts[0].LeaseEnd - b.now.Sub(b.born)
	must.LessEq(t, 300*time.Millisecond, left)
}

func TestStartsThatAreRefusedHere(t *testing.T) {
	t.Run("after the grant", func(t *testing.T) { // guards against a start that outlives its controller
		b := newBench(t)
		b.now = b.now.Add(1300 * time.Millisecond)
		b.order(1)
		must.SliceEmpty(t, find[Start](b.actions))
		b.mustRefuse(specifier.EndRefusedLate)
	})
	t.Run("while the worker drains", func(t *testing.T) { // guards against new work at a worker that leaves
		b := newBench(t)
		b.step(Announced{Sequence: 2, Worker: specifier.LeasedWorker{ID: "w", Born: b.born, Draining: true}})
		b.order(1)
		b.mustRefuse(specifier.EndRefusedLate)
	})
	t.Run("of an earlier controller", func(t *testing.T) { // guards against two controllers that start the same task
		b := newBench(t)
		b.step(OrderReceived{specifier.LeaseOrder{Token: 5}})
		b.order(1)
		must.SliceEmpty(t, find[Start](b.actions))
	})
}

// Guards against a run that counts as gone while it may still begin, and against one that is lost from sight.
func TestUnansweredStart(t *testing.T) {
	b := newBench(t)
	b.order(1)
	b.step(Started{Answer: Answer{CalledAt: b.now, Lost: true}, Key: key(1)})
	looks := find[Poll](b.actions)
	must.SliceLen(t, 1, looks)
	must.True(t, looks[0].Immediate)
	b.answerHolds(nil, nil)
	must.SliceLen(t, 1, find[Stop](b.actions))
	must.False(t, b.holder.Idle())
	b.now = b.now.Add(time.Millisecond)
	b.step(Stopped{Answer: b.answer(), Key: key(1)})
	b.now = b.now.Add(time.Millisecond)
	b.answerHolds(nil, nil)
	b.mustRefuse(specifier.EndUnanswered)
	must.True(t, b.holder.Idle())
}

// Guards against ends that go unseen for half a second because the answer to one hold was lost.
func TestLostHoldIsRepeatedAtOnce(t *testing.T) {
	b := newBench(t)
	must.True(t, b.holder.holding)
	b.step(PollResult{Answer: Answer{CalledAt: b.now, Lost: true}})
	must.SliceLen(t, 1, find[Poll](b.actions))
	must.LessEq(t, 100*time.Millisecond, find[Poll](b.actions)[0].Wait)
}

// Guards against work that a reborn worker takes for its own although it was meant for its former life.
func TestTokenRisesWithEachLife(t *testing.T) {
	b := newBench(t)
	before := b.holder.workerToken()
	b.born = b.now
	b.step(PollResult{Answer: b.answer(), Token: before, EndsComplete: true})
	must.Greater(t, before, b.holder.workerToken())
	must.False(t, b.holder.settled())
}
