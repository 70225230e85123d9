package dispatcher

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// Guards against a machine that was only silent for a while and whose running work is stopped, because its end could not be reported,
// or started again elsewhere.
func TestSilentAgentKeepsItsRuns(t *testing.T) {
	f := newFixture(t, 2)
	f.estimate = 20 * time.Millisecond // the run counts as stalled after 0.54 s
	f.submit("a", 1, true)
	key := f.starts()[0].Key
	silent := f.busyAgent()
	for range 10 {
		f.advance(100 * time.Millisecond)
		must.SliceEmpty(t, f.stops())
		must.SliceEmpty(t, f.starts())
		f.report(3-silent, nil)
		must.SliceEmpty(t, f.starts())
	}
	f.report(silent, func(report *specifier.LeaseReport) {
		report.Runs, report.Ends = nil, []specifier.RunEnd{{Number: 1, Key: key, Kind: specifier.EndDone}}
	})
	must.Eq(t, specifier.JobCompleted, f.mustReply(specifier.QueueOK).State)
	must.True(t, f.d.available(f.d.agents[agentName(silent)]))
}

// Guards against starts at an agent that has just become unreachable: they are lost until its grant has ended.
func TestNoStartsAtASilentAgent(t *testing.T) {
	f := newFixture(t, 1)
	f.advance(f.d.Settings.StaleAfter)
	f.submit("a", 1, true)
	must.SliceEmpty(t, f.starts())
	f.report(1, nil)
	must.SliceLen(t, 1, f.starts())
}

// Guards against a leader that spends its time on the renewals of hundreds of agents, and against agents that then count as silent
// between two renewals.
func TestRenewalsAreFewerWithManyAgents(t *testing.T) {
	for _, each := range []struct {
		agents int
		want   time.Duration
	}{{2, 100 * time.Millisecond}, {240, 200 * time.Millisecond}, {940, 300 * time.Millisecond}} {
		f := newFixture(t, each.agents)
		asked := find[Order](f.actions)
		must.SliceLen(t, 1, asked)
		must.Eq(t, each.want, asked[0].Order.RenewAfter)
		f.now = f.now.Add(2 * each.want)
		must.False(t, f.d.silent(f.d.agents[agentName(each.agents)]))
		must.Less(t, f.d.Settings.GrantSpan/3, each.want)
	}
}
