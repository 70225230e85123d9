package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
	"oleandertally/state/jobrecorder"
)

// fixture drives a leading dispatcher with a clock that the test sets and agents that follow every order.
type fixture struct {
	t       *testing.T
	d       *Dispatcher
	now     time.Time
	leading bool
	renewal uint64
	// endNumber is that of the last end that agent 1 reported.
	endNumber uint64
	// lastSubmission is the number of calls of submitAt.
	lastSubmission uint64
	actions        []Action
	// estimate is the estimate of submitted tasks.
	estimate time.Duration
}

const caller = Stream(1000)

// taskResources are those of a submitted task. A worker has room for two.
var taskResources = specifier.Resources{MilliCores: 1000, Memory: 1}

func newFixture(t *testing.T, agents int) *fixture {
	f := &fixture{t: t, now: time.Unix(1000, 0), leading: true, estimate: 100 * time.Millisecond}
	f.d = &Dispatcher{Recorder: jobrecorder.New(time.Minute), Settings: Defaults(), Leading: func(time.Time) bool { return f.leading }, EnoughVoters: func() bool { return true }}
	f.step(BecameLeader{Term: 1})
	f.manifest(1, testQueue("q", "/q/"))
	for agent := 1; agent <= agents; agent++ {
		f.attach(agent)
	}
	return f
}

func testQueue(name, prefix string) specifier.Queue {
	return specifier.Queue{Name: name, Host: "h", Prefix: prefix, Pool: "p", MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond}
}

func (f *fixture) step(event Event) {
	f.actions = f.d.Step(f.now, event)
	for _, each := range find[Propose](f.actions) {
		f.actions = append(f.actions, f.d.Step(f.now, Applied(each))...)
	}
}

func (f *fixture) advance(span time.Duration) {
	f.now = f.now.Add(span)
	f.actions = f.d.Expire(f.now)
}

func agentName(agent int) string { return fmt.Sprintf("agent-%d", agent) }

// report sends a report of an agent with its worker and all its runs.
func (f *fixture) report(agent int, change func(*specifier.LeaseReport)) {
	f.renewal++
	report := specifier.LeaseReport{Agent: agentName(agent), Incarnation: 1, Renewal: f.renewal, AllRunsKnown: true, RunsComplete: true,
		Worker: &specifier.LeasedWorker{ID: agentName(agent), StartedAt: time.Unix(1, 0), Pool: "p", Capacity: specifier.Resources{MilliCores: 2000, Memory: 100}}}
	if a := f.d.agents[agentName(agent)]; a != nil {
		report.Token, report.LastOrder = f.d.fence(a), a.orderCount
		for _, r := range a.sortedRuns() {
			report.Runs = append(report.Runs, specifier.LeasedRun{Key: r.key, Resources: r.resources})
		}
	}
	if change != nil {
		change(&report)
	}
	f.step(ReportReceived{Stream: Stream(agent), Report: report})
}

func (f *fixture) attach(agent int) {
	f.report(agent, nil) // learns the token
	f.report(agent, nil)
}

func (f *fixture) submit(id string, count int, transient bool) {
	f.step(CallReceived{Stream: caller, Sequence: uint64(len(id)), Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: "/q/" + id,
		Job: specifier.QueuedJob{Transient: transient, Steps: []specifier.Step{{Count: count, Resources: taskResources, Estimate: f.estimate}}}}})
}

// callAt sends a call for a path of the fixture's host.
func (f *fixture) callAt(verb specifier.QueueVerb, path string) {
	f.step(CallReceived{Stream: caller, Sequence: 97, Call: specifier.QueueCall{Verb: verb, Host: "h", Path: path}})
}

func (f *fixture) query(id string) { f.callAt(specifier.QueryQueued, "/q/"+id) }

func (f *fixture) cancel(id string) { f.callAt(specifier.CancelQueued, "/q/"+id) }

// busyAgent returns the number of the agent of two that has a run.
func (f *fixture) busyAgent() int {
	if len(f.d.agents[agentName(2)].runs) > 0 {
		return 2
	}
	return 1
}

func (f *fixture) starts() []specifier.RunStart {
	var starts []specifier.RunStart
	for _, order := range find[Order](f.actions) {
		starts = append(starts, order.Order.Starts...)
	}
	return starts
}

func (f *fixture) mustReply(result specifier.QueueResult) specifier.QueueReply {
	f.t.Helper()
	replies := find[Reply](f.actions)
	must.SliceLen(f.t, 1, replies)
	must.Eq(f.t, result, replies[0].Reply.Result)
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
