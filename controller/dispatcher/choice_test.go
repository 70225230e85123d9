package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/estimator"
)

// fakeEstimates knows the pace of workers and the factor of queues by name, and keeps the samples.
type fakeEstimates struct {
	paces   map[string]float64
	factor  float64
	ended   []estimator.Sample[string, string]
	overdue []estimator.Sample[string, string]
	forgot  []string
}

func (f *fakeEstimates) Pace(_ time.Time, worker string) float64 {
	if pace := f.paces[worker]; pace > 0 {
		return pace
	}
	return 1
}
func (f *fakeEstimates) ColdPace() float64          { return 2 }
func (f *fakeEstimates) QueueFactor(string) float64 { return max(f.factor, 1) }
func (f *fakeEstimates) Ended(_ time.Time, sample estimator.Sample[string, string]) {
	f.ended = append(f.ended, sample)
}
func (f *fakeEstimates) Overdue(_ time.Time, sample estimator.Sample[string, string]) {
	f.overdue = append(f.overdue, sample)
}
func (f *fakeEstimates) Forget(worker string) { f.forgot = append(f.forgot, worker) }

// unevenFixture is a fixture whose workers are in racks of two and have known paces.
type unevenFixture struct {
	*fixture
	estimates *fakeEstimates
}

func newUnevenFixture(t *testing.T, agents int, remoteFactor float64, paces ...float64) *unevenFixture {
	f := &unevenFixture{fixture: newFixture(t, 0), estimates: &fakeEstimates{paces: make(map[string]float64)}}
	f.d.Settings.RemoteFactor = remoteFactor
	f.d.NewEstimates = func() estimator.Policy[string, string] { return f.estimates }
	for agent := 1; agent <= agents; agent++ {
		if agent <= len(paces) {
			f.estimates.paces[agentName(agent)] = paces[agent-1]
		}
		for range 2 {
			f.report(agent, f.labels(agent))
		}
	}
	return f
}

func rackName(agent int) string { return fmt.Sprintf("rack-%d", (agent-1)/2) }

func (f *unevenFixture) labels(agent int) func(*specifier.LeaseReport) {
	return func(report *specifier.LeaseReport) { report.Worker.Labels = []string{rackName(agent)} }
}

// submitStep submits a transient job of one step and returns the agents at which its tasks are started.
func (f *unevenFixture) submitStep(id string, step specifier.Step) []string {
	if step.Resources == (specifier.Resources{}) {
		step.Resources = taskResources
	}
	if step.Estimate == 0 {
		step.Estimate = f.estimate
	}
	f.step(CallReceived{Stream: caller, Sequence: uint64(len(f.d.jobs) + 1), Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: "/q/" + id,
		Job: specifier.QueuedJob{Transient: true, Steps: []specifier.Step{step}}}})
	return f.startedAt()
}

// startedAt returns the agents of the starts in the last actions.
func (f *unevenFixture) startedAt() []string {
	var names []string
	for _, order := range find[Order](f.actions) {
		for range order.Order.Starts {
			names = append(names, f.d.streams[order.Stream].name)
		}
	}
	return names
}

// end reports the end of all runs of an agent.
func (f *unevenFixture) end(agent int) {
	a := f.d.agents[agentName(agent)]
	f.report(agent, func(report *specifier.LeaseReport) {
		f.labels(agent)(report)
		report.WorkerStartedAt = time.Unix(1, 0)
		for number, r := range a.sortedRuns() {
			report.Ends = append(report.Ends, specifier.RunEnd{Number: a.handledEnd + uint64(number) + 1, Key: r.key, Kind: specifier.EndDone})
		}
		report.Runs = nil
	})
}

// keepHeard renews all agents, so that none is silent after the clock has moved.
func (f *unevenFixture) keepHeard() {
	for _, a := range f.d.agentsByName {
		a.renewedAt = f.now
	}
}

func TestRemoteData(t *testing.T) {
	near := specifier.Step{Count: 1, DataRack: "rack-0"}
	// fill uses all room of the first rack, by runs that are expected to take the given time.
	fill := func(f *unevenFixture, span time.Duration) {
		must.Eq(f.t, []string{"agent-1", "agent-1", "agent-2", "agent-2"}, f.submitStep("fill", specifier.Step{Count: 4, DataRack: "rack-0", Estimate: span}))
	}
	t.Run("a task runs near its data", func(t *testing.T) {
		f := newUnevenFixture(t, 4, 2, 1.2, 1.2, 0.8, 0.8)
		must.Eq(t, rackName(1), f.d.agents[f.submitStep("j", near)[0]].worker.Labels[0])
	})
	t.Run("a task does not run at a near worker that is too slow", func(t *testing.T) {
		// Guards against a rack whose workers are slow and get all tasks with data there.
		f := newUnevenFixture(t, 4, 2, 6, 6)
		must.Eq(t, []string{"agent-3"}, f.submitStep("j", near))
	})
	t.Run("a task waits for its rack while it ends in time there", func(t *testing.T) {
		// Guards against a full pool whose hot rack makes every second task take twice the time of a worker.
		f := newUnevenFixture(t, 4, 2)
		fill(f, 30*time.Millisecond)
		f.d.pool("p").arrivals.Add(f.now, 10) // more work arrives than the workers can do
		must.SliceEmpty(t, f.submitStep("j", near))
		f.now = f.now.Add(25 * time.Millisecond)
		f.end(1)
		must.Eq(t, []string{"agent-1"}, f.startedAt())
	})
	t.Run("a task runs elsewhere at once while there is room for more work", func(t *testing.T) {
		f := newUnevenFixture(t, 4, 1.5)
		fill(f, 200*time.Millisecond)
		must.Eq(t, []string{"agent-3"}, f.submitStep("j", near))
	})
	t.Run("a task runs elsewhere if it would be late near its data", func(t *testing.T) {
		f := newUnevenFixture(t, 4, 1.5)
		fill(f, 2*time.Second)
		f.d.pool("p").arrivals.Add(f.now, 10)
		must.Eq(t, []string{"agent-3"}, f.submitStep("j", near))
	})
	t.Run("without a known factor a task does not wait", func(t *testing.T) {
		for _, factor := range []float64{0, 1} {
			f := newUnevenFixture(t, 4, factor)
			fill(f, 30*time.Millisecond)
			f.d.pool("p").arrivals.Add(f.now, 10)
			must.Eq(t, []string{"agent-3"}, f.submitStep("j", near))
		}
	})
	t.Run("a rack that is gone does not hold up its tasks", func(t *testing.T) {
		f := newUnevenFixture(t, 4, 2)
		f.step(AgentDisconnected{Stream: 1})
		f.step(AgentDisconnected{Stream: 2})
		f.d.pool("p").arrivals.Add(f.now, 10)
		must.Eq(t, []string{"agent-3"}, f.submitStep("j", near))
	})
	t.Run("tasks without data leave a rack to those that wait for it", func(t *testing.T) {
		// Guards against a hot rack that is full of tasks that could run anywhere.
		f := newUnevenFixture(t, 4, 2, 0.5, 0.5)
		fill(f, 30*time.Millisecond)
		f.d.pool("p").arrivals.Add(f.now, 10)
		must.SliceEmpty(t, f.submitStep("near", specifier.Step{Count: 1, DataRack: "rack-0", Resources: specifier.Resources{MilliCores: 2000, Memory: 1}}))
		f.now = f.now.Add(10 * time.Millisecond)
		f.d.agents["agent-1"].remove(f.d.agents["agent-1"].sortedRuns()[0]) // room for one small task
		f.d.touch(f.d.agents["agent-1"])
		must.Eq(t, []string{"agent-3"}, f.submitStep("any", specifier.Step{Count: 1}))
	})
	t.Run("a task that waits for its rack is looked at again in time", func(t *testing.T) {
		// Guards against a task that waits until it is late for a rack whose runs do not end.
		f := newUnevenFixture(t, 4, 1.2)
		fill(f, 30*time.Millisecond)
		f.d.pool("p").arrivals.Add(f.now, 10)
		must.SliceEmpty(t, f.submitStep("j", near))
		for range 80 {
			f.keepHeard()
			if f.advance(f.d.Next().Sub(f.now)); len(f.startedAt()) > 0 {
				break
			}
		}
		must.Eq(t, []string{"agent-3"}, f.startedAt())
		must.True(t, f.now.Before(f.d.jobs["j"].due))
	})
	t.Run("a job without a caller that waits reserves no rack", func(t *testing.T) {
		// Guards against a rack that is left empty for a task that can't run there.
		f := newUnevenFixture(t, 2, 2)
		f.step(CallReceived{Stream: caller, Sequence: 50, Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: "h", Path: "/q/long",
			Job: specifier.QueuedJob{Steps: []specifier.Step{{Count: 1, DataRack: "rack-0", Label: "none", Resources: taskResources, Estimate: f.estimate}}}}})
		must.Eq(t, []string{"agent-1"}, f.submitStep("any", specifier.Step{Count: 1}))
	})
	t.Run("a run away from its data tells how fast its worker is", func(t *testing.T) {
		f := newUnevenFixture(t, 4, 2)
		fill(f, 2*time.Second)
		must.Eq(t, []string{"agent-3"}, f.submitStep("j", near))
		started := find[LogEvent](f.actions)
		must.Eq(t, "away from its data", started[len(started)-1].Detail)
		f.now = f.now.Add(180 * time.Millisecond)
		f.end(3)
		must.SliceLen(t, 1, f.estimates.ended)
		must.Eq(t, estimator.Sample[string, string]{Worker: "agent-3", Queue: "q", Declared: f.estimate, Took: 180 * time.Millisecond, Factor: 2}, f.estimates.ended[0])
	})
}

func TestSlowWorkers(t *testing.T) {
	f := newUnevenFixture(t, 2, 0, 6, 1)
	must.Eq(t, []string{"agent-2", "agent-2"}, f.submitStep("fill", specifier.Step{Count: 2}))
	t.Run("a task that ends in time elsewhere waits", func(t *testing.T) {
		// Guards against one task at a slow worker that makes a job of many tasks late.
		must.SliceEmpty(t, f.submitStep("wait", specifier.Step{Count: 1}))
	})
	t.Run("a task that is late in any case takes the slow worker", func(t *testing.T) {
		// Guards against a task that waits for a faster worker until nothing can be done for it.
		f.now = f.now.Add(90 * time.Millisecond)
		f.keepHeard()
		f.advance(0)
		must.Eq(t, []string{"agent-1"}, f.startedAt())
	})
}

// TestPaceMargin guards against a task that starts at a worker where it is expected to end just at its objective, and that is late
// there whenever it takes longer than predicted.
func TestPaceMargin(t *testing.T) {
	for _, each := range []struct {
		pace float64 // the objective allows 2.2
		want []string
	}{{1.9, []string{"agent-1"}}, {2.1, nil}} {
		f := newUnevenFixture(t, 2, 0, each.pace, 1)
		must.Eq(t, []string{"agent-2", "agent-2"}, f.submitStep("fill", specifier.Step{Count: 2}))
		must.Eq(t, each.want, f.submitStep("j", specifier.Step{Count: 1}))
	}
}

// TestPaceEvents guards against a worker that gets fewer tasks without a trace of the reason.
func TestPaceEvents(t *testing.T) {
	f := newUnevenFixture(t, 1, 0)
	for _, each := range []struct {
		pace float64
		want []string
	}{{1.8, nil}, {2.1, []string{"WorkerSlow"}}, {4, nil}, {1.8, nil}, {1.2, []string{"WorkerUsual"}}} {
		f.estimates.paces[agentName(1)] = each.pace
		f.report(1, nil)
		var events []string
		for _, event := range find[LogEvent](f.actions) {
			events = append(events, event.Event)
		}
		must.Eq(t, each.want, events)
	}
}

func TestCapacity(t *testing.T) {
	f := newUnevenFixture(t, 3, 0, 2, 0.5, 1)
	p := f.d.pool("p")
	mustCores := func(t *testing.T, want float64) {
		t.Helper()
		f.now = f.now.Add(capacityInterval)
		f.advance(0)
		must.InDelta(t, want, f.d.cores(p), 1e-9)
	}
	t.Run("a slow worker counts for less", func(t *testing.T) { mustCores(t, 2/2.0+2/0.5+2/1.0) })
	t.Run("a cold worker counts for less until it is warm", func(t *testing.T) {
		f.report(3, func(report *specifier.LeaseReport) { report.Worker.ColdFor = time.Second })
		mustCores(t, 2/2.0+2/0.5+2/2.0)
		f.now = f.now.Add(time.Second)
		f.keepHeard()
		mustCores(t, 2/2.0+2/0.5+2/1.0)
	})
	t.Run("workers that are all slow get tasks", func(t *testing.T) {
		// Guards against tasks that wait for a faster worker when there is none.
		slow := newUnevenFixture(t, 2, 0, 3, 3)
		must.SliceLen(t, 1, slow.submitStep("j", specifier.Step{Count: 1}))
	})
	t.Run("a run of the expected time at a slow worker does not change the pace of the pool", func(t *testing.T) {
		// Guards against a slow worker that counts both in the capacity and in the work.
		f.estimates.paces = map[string]float64{"agent-1": 3, "agent-2": 3, "agent-3": 3}
		f.now = f.now.Add(capacityInterval)
		for agent := 1; agent <= 3; agent++ {
			f.report(agent, nil)
		}
		must.SliceLen(t, 1, f.submitStep("j", specifier.Step{Count: 1, Estimate: 50 * time.Millisecond}))
		f.now = f.now.Add(150 * time.Millisecond)
		for agent := 1; agent <= 3; agent++ {
			f.end(agent)
		}
		must.InDelta(t, 1, p.pace.Value(), 1e-9)
	})
}

func TestEstimates(t *testing.T) {
	t.Run("a job's objective follows the error of its queue", func(t *testing.T) {
		// Guards against jobs that are refused because they seem too long for their objective, or that wait too long.
		f := newUnevenFixture(t, 2, 0)
		f.estimates.factor = 1.4
		f.submitStep("j", specifier.Step{Count: 1})
		must.Eq(t, f.now.Add(60*time.Millisecond+224*time.Millisecond), f.d.jobs["j"].due)
		must.Eq(t, f.estimate, f.d.jobs["j"].declared(0))
	})
	t.Run("the log keeps the declared estimate", func(t *testing.T) {
		f := newUnevenFixture(t, 2, 0)
		f.estimates.factor = 1.4
		f.submit("j", 1, false)
		must.Eq(t, f.estimate, find[Propose](f.actions)[0].Command.Accept.Steps[0].Estimate)
	})
	t.Run("a run that takes too long tells it before its end", func(t *testing.T) {
		f := newUnevenFixture(t, 1, 0)
		f.submitStep("j", specifier.Step{Count: 1})
		f.now = f.now.Add(290 * time.Millisecond)
		f.keepHeard()
		f.advance(0)
		must.SliceLen(t, 1, f.estimates.overdue)
		f.advance(0)
		must.SliceLen(t, 1, f.estimates.overdue)
	})
	t.Run("a worker that is not heard is not slow", func(t *testing.T) {
		// Guards against a lost answer that counts against the worker.
		f := newUnevenFixture(t, 1, 0)
		f.submitStep("j", specifier.Step{Count: 1})
		f.advance(500 * time.Millisecond)
		must.SliceEmpty(t, f.estimates.overdue)
	})
	t.Run("a run that ended with its lease tells nothing", func(t *testing.T) {
		f := newUnevenFixture(t, 1, 0)
		f.submitStep("j", specifier.Step{Count: 1})
		f.advance(3 * time.Second)
		must.SliceEmpty(t, f.estimates.ended)
	})
	t.Run("an adopted run tells nothing", func(t *testing.T) {
		f := newUnevenFixture(t, 1, 0)
		f.submitStep("j", specifier.Step{Count: 1})
		f.d.agents["agent-1"].sortedRuns()[0].expectedEnd = time.Time{}
		f.end(1)
		must.SliceEmpty(t, f.estimates.ended)
	})
	t.Run("a new incarnation of a worker has no pace yet", func(t *testing.T) {
		f := newUnevenFixture(t, 1, 0)
		f.estimates.forgot = nil
		f.report(1, func(report *specifier.LeaseReport) { report.Worker.StartedAt = time.Unix(2, 0) })
		must.Eq(t, []string{"agent-1"}, f.estimates.forgot)
	})
}

// TestGroups guards against a task that finds no worker of its label although one has room, or that runs where it may not.
func TestGroups(t *testing.T) {
	f := newFixture(t, 0)
	const agents = 3 * maxScanned
	label := func(agent int, labels ...string) {
		for range 2 {
			f.report(agent, func(report *specifier.LeaseReport) {
				report.Worker.Labels = labels
				report.Worker.Capacity.Accelerators = agent / agents // only the last worker has one
			})
		}
	}
	for agent := 1; agent <= agents; agent++ {
		label(agent, "gpu", fmt.Sprintf("rack-%d", agent/8))
	}
	p, step := f.d.pool("p"), specifier.Step{Count: 1, Label: "gpu", Resources: taskResources}
	choose := func() *agent {
		j := newJob(specifier.QueuedJob{ID: "j", Transient: true, Steps: []specifier.Step{step}}, specifier.Queue{Stretch: 2}, f.now, 1)
		return f.d.choose(p, j.tasks[0][0])
	}
	t.Run("the only worker with an accelerator", func(t *testing.T) {
		step.Resources.Accelerators = 1
		must.Eq(t, agentName(agents), choose().name)
		step.Resources.Accelerators = 0
	})
	t.Run("an unknown label", func(t *testing.T) {
		step.Label = "none"
		must.Nil(t, choose())
		step.Label = "gpu"
	})
	t.Run("a worker whose label is gone", func(t *testing.T) {
		for agent := 1; agent < agents; agent++ {
			label(agent, "rack")
		}
		must.Eq(t, agentName(agents), choose().name)
		f.step(AgentDisconnected{Stream: agents})
		must.Nil(t, choose())
		must.MapNotContainsKey(t, p.groups, "rack-0") // a group without members is removed
	})
}
