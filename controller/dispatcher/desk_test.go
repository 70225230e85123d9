package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
	"oleandertally/state/jobrecorder"
)

// desk drives a leading dispatcher on a held clock, with agents that do as they are told.
type desk struct {
	t       *testing.T
	d       *Dispatcher
	now     time.Time
	leading bool
	renewal uint64
	actions []Action
	// estimate is that of the tasks that are submitted.
	estimate time.Duration
}

const caller = Stream(1000)

func newDesk(t *testing.T, agents int) *desk {
	b := &desk{t: t, now: time.Unix(1000, 0), leading: true, estimate: 100 * time.Millisecond}
	b.d = &Dispatcher{Recorder: jobrecorder.New(time.Minute), Settings: Defaults(), Leading: func(time.Time) bool { return b.leading }, EnoughVoters: func() bool { return true }}
	b.step(BecameLeader{Term: 1})
	b.step(Applied{specifier.QueueCommand{Manifest: &specifier.Manifest{Version: 1, Queues: []specifier.Queue{
		{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond}}}}})
	for agent := 1; agent <= agents; agent++ {
		b.attach(agent)
	}
	return b
}

func (b *desk) step(event Event) {
	b.actions = b.d.Step(b.now, event)
	for _, each := range find[Propose](b.actions) {
		b.actions = append(b.actions, b.d.Step(b.now, Applied(each))...)
	}
}

func (b *desk) advance(span time.Duration) {
	b.now = b.now.Add(span)
	b.actions = b.d.Expire(b.now)
}

func name(agent int) string { return fmt.Sprintf("agent-%d", agent) }

// report sends a whole report of an agent.
func (b *desk) report(agent int, change func(*specifier.LeaseReport)) {
	b.renewal++
	report := specifier.LeaseReport{Agent: name(agent), Incarnation: 1, Renewal: b.renewal, Settled: true, Listed: true,
		Worker: &specifier.LeasedWorker{ID: name(agent), Born: time.Unix(1, 0), Pool: "p", Capacity: specifier.Resources{MilliCores: 2000, Memory: 100}}}
	if h := b.d.holders[name(agent)]; h != nil {
		report.Token, report.Orders = b.d.fence(h), h.orders
		for _, r := range h.sorted() {
			report.Runs = append(report.Runs, specifier.LeasedRun{Key: r.key, Resources: r.room})
		}
	}
	if change != nil {
		change(&report)
	}
	b.step(ReportReceived{Stream: Stream(agent), Report: report})
}

func (b *desk) attach(agent int) {
	b.report(agent, nil) // learns the token
	b.report(agent, nil)
}

func (b *desk) submit(id string, count int, transient bool) {
	b.step(CallReceived{Stream: caller, Sequence: uint64(len(id)), Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: "/q/" + id,
		Job: specifier.QueuedJob{Transient: transient, Steps: []specifier.Step{{Count: count, Resources: specifier.Resources{MilliCores: 1000, Memory: 1}, Estimate: b.estimate}}}}})
}

func (b *desk) starts() []specifier.RunStart {
	var starts []specifier.RunStart
	for _, order := range find[Order](b.actions) {
		starts = append(starts, order.Order.Starts...)
	}
	return starts
}

func (b *desk) mustReply(result specifier.QueueResult) specifier.QueueReply {
	b.t.Helper()
	replies := find[Reply](b.actions)
	must.SliceLen(b.t, 1, replies)
	must.Eq(b.t, result, replies[0].Reply.Result)
	return replies[0].Reply
}

func find[T any](actions []Action) []T {
	var found []T
	for _, action := range actions {
		if one, ok := action.(T); ok {
			found = append(found, one)
		}
	}
	return found
}
