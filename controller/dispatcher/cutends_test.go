package dispatcher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// Guards against a second run of a task whose end the worker of a restarted agent holds but has not listed when a new leader stops waiting
// for the lists.
func TestRecoveryWaitsForCutLists(t *testing.T) {
	recovering := func(t *testing.T) (*fixture, specifier.RunKey) { // at the time at which the leader stops waiting for agents
		f := newFixture(t, 2)
		f.submit("a", 1, false)
		key := f.starts()[0].Key
		f.step(BecameFollower{})
		f.step(BecameLeader{Term: 2})
		f.attach(2)
		f.listCutUntil(f.d.recoveryUntil)
		return f, key
	}
	t.Run("the end is listed later", func(t *testing.T) {
		f, key := recovering(t)
		f.report(1, func(report *specifier.LeaseReport) {
			report.Ends = []specifier.RunEnd{{Number: 1, Key: key, Kind: specifier.EndDone}}
		})
		must.SliceEmpty(t, f.starts())
		must.Eq(t, specifier.JobCompleted, f.d.Recorder.Job("a").State)
	})
	t.Run("the list is never complete", func(t *testing.T) { // guards against jobs that wait for one agent for good
		f, _ := recovering(t)
		until := f.d.recoveryUntil.Add(f.d.Settings.GrantSpan + f.d.Settings.GrantMargin)
		f.listCutUntil(until.Add(-time.Millisecond))
		f.advance(time.Millisecond)
		must.SliceLen(t, 1, f.starts())
	})
	t.Run("the agent becomes unreachable", func(t *testing.T) { // its leases go on until its grant ends
		f, _ := recovering(t)
		until := f.d.agents[agentName(1)].grantUntil.Add(f.d.Settings.GrantMargin)
		f.step(AgentDisconnected{Stream: 1})
		for last := until.Add(-time.Millisecond); f.now.Before(last); f.report(2, nil) {
			f.advance(min(100*time.Millisecond, last.Sub(f.now)))
			must.SliceEmpty(t, f.starts())
		}
		f.advance(time.Millisecond)
		must.SliceLen(t, 1, f.starts())
	})
}

// listCutUntil advances the clock to the given time, while both agents renew and the lists of agent 1 are cut. No task may start meanwhile.
func (f *fixture) listCutUntil(until time.Time) {
	for f.now.Before(until) {
		f.advance(min(100*time.Millisecond, until.Sub(f.now)))
		must.SliceEmpty(f.t, f.starts())
		f.report(2, nil)
		must.SliceEmpty(f.t, f.starts())
		f.report(1, func(report *specifier.LeaseReport) { report.AllRunsKnown, report.EndsCut = false, true })
		must.SliceEmpty(f.t, f.starts())
	}
}
