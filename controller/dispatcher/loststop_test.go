package dispatcher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// laterStream is a stream that agent 1 opens after its first one.
const laterStream = Stream(100)

// reattach opens a later stream of agent 1, whose process has the given incarnation, and lists the given runs and ends on it.
func (f *fixture) reattach(incarnation specifier.Incarnation, runs []specifier.LeasedRun, ends []specifier.RunEnd) {
	report := specifier.LeaseReport{Agent: agentName(1), Incarnation: incarnation, AllRunsKnown: true, RunsComplete: true, Runs: runs, Ends: ends}
	report.Token = f.d.fence(f.d.agents[agentName(1)])
	f.step(ReportReceived{Stream: laterStream, Report: report})
}

// mustRepeatStop requires that the agent is ordered once more to stop the run, which it lists without knowing that it is to be stopped.
func (f *fixture) mustRepeatStop(key specifier.RunKey, incarnation specifier.Incarnation) {
	f.t.Helper()
	f.reattach(incarnation, []specifier.LeasedRun{{Key: key, Resources: taskResources}}, nil)
	must.Eq(f.t, []specifier.RunKey{key}, f.stops())
}

// Guards against a run that goes on although its job was cancelled or it counts as stalled, because the order to stop it never reached its
// agent.
func TestStopThatIsLost(t *testing.T) {
	started := func(t *testing.T, transient bool) (*fixture, specifier.RunKey) {
		f := newFixture(t, 1)
		f.submit("a", 1, transient)
		return f, f.starts()[0].Key
	}
	t.Run("the agent is away when a recorded job is cancelled", func(t *testing.T) {
		f, key := started(t, false)
		f.step(AgentDisconnected{Stream: 1})
		f.cancel("a")
		must.SliceEmpty(t, f.stops())
		f.mustRepeatStop(key, 1)
	})
	t.Run("the agent is restarted while a recorded job is cancelled", func(t *testing.T) {
		f, key := started(t, false)
		f.step(AgentDisconnected{Stream: 1})
		f.cancel("a")
		f.mustRepeatStop(key, 2)
	})
	t.Run("the stream breaks with the order", func(t *testing.T) {
		f, key := started(t, true)
		f.cancel("a")
		must.Eq(t, []specifier.RunKey{key}, f.stops())
		f.mustRepeatStop(key, 1)
	})
	t.Run("the agent is restarted after the order", func(t *testing.T) {
		f, key := started(t, true)
		f.cancel("a")
		f.report(1, func(report *specifier.LeaseReport) { report.Runs[0].Stopping = true })
		must.SliceEmpty(t, f.stops())
		f.mustRepeatStop(key, 2)
	})
	t.Run("the stream breaks with the order to stop a stalled run", func(t *testing.T) {
		f := newFixture(t, 1)
		f.estimate = 20 * time.Millisecond // the run counts as stalled after 0.54 s
		f.submit("a", 1, true)
		key := f.starts()[0].Key
		for range 5 {
			f.advance(100 * time.Millisecond)
			f.report(1, nil)
		}
		f.advance(100 * time.Millisecond)
		must.Eq(t, []specifier.RunKey{key}, f.stops())
		f.mustRepeatStop(key, 1)
	})
	t.Run("the agent had not listed the run when the order arrived", func(t *testing.T) { // it has then ignored the order
		f, key := started(t, false)
		f.cancel("a")
		must.Eq(t, []specifier.RunKey{key}, f.stops())
		f.report(1, nil)
		must.Eq(t, []specifier.RunKey{key}, f.stops())
	})
}

// Guards against orders that are repeated at each report of an agent that is carrying them out.
func TestStopThatArrives(t *testing.T) {
	for _, each := range []struct {
		name   string
		change func(*specifier.LeaseReport)
	}{
		{"the report was sent before the order arrived", func(report *specifier.LeaseReport) { report.LastOrder-- }},
		{"the agent is stopping the run", func(report *specifier.LeaseReport) { report.Runs[0].Stopping = true }},
		{"the run has ended", func(report *specifier.LeaseReport) {
			report.Ends, report.Runs = []specifier.RunEnd{{Number: 1, Key: report.Runs[0].Key, Kind: specifier.EndStopped}}, nil
		}},
	} {
		t.Run(each.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.estimate = time.Minute
			f.submit("a", 1, false)
			f.cancel("a")
			must.SliceLen(t, 1, f.stops())
			f.report(1, each.change)
			must.SliceEmpty(t, f.stops())
		})
	}
}

// Guards against a run of a job that was cancelled under an earlier leader and goes on, while the next one waits for all agents and then for
// a caller that resubmits the job.
func TestRunOfAJobThatEndedUnderAnEarlierLeader(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("a", 1, false)
	key := f.starts()[0].Key
	at := f.busyAgent()
	f.step(AgentDisconnected{Stream: Stream(at)})
	f.cancel("a")
	f.step(BecameFollower{})
	f.step(BecameLeader{Term: 2})
	f.report(at, func(report *specifier.LeaseReport) {
		report.Runs = []specifier.LeasedRun{{Key: key, Resources: taskResources}}
	})
	must.False(t, f.d.recoveryUntil.IsZero())
	must.Eq(t, []specifier.RunKey{key}, f.stops())
}
