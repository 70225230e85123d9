package dispatcher

import (
	"testing"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// assertKept checks that an agent's run goes on after its streams, in the given order of events, have been exchanged.
func assertKept(t *testing.T, move func(f *fixture, old, newer Stream, report specifier.LeaseReport)) {
	t.Helper()
	f := newFixture(t, 2)
	f.submit("a", 1, true)
	busy := f.busyAgent()
	a := f.d.agents[agentName(busy)]
	var report specifier.LeaseReport
	f.report(busy, func(sent *specifier.LeaseReport) { report = *sent })
	report.LastOrder = 0 // the agent counts the orders of each stream
	move(f, Stream(busy), 500, report)
	must.SliceEmpty(t, f.starts())
	must.MapLen(t, 1, a.runs)
	must.Eq(t, 500, a.stream)
	f.advance(f.d.Settings.GrantSpan / 2) // the agent is silent no longer than other agents are
	must.SliceEmpty(t, f.starts())
	must.MapLen(t, 1, a.runs)
}

// Guards against tasks that are lost or run twice when an agent moves between a relayed and a direct stream, whose events may
// arrive in any order.
func TestAgentMovesToAnotherStream(t *testing.T) {
	t.Run("the former stream ends first", func(t *testing.T) {
		assertKept(t, func(f *fixture, old, newer Stream, report specifier.LeaseReport) {
			f.step(AgentDisconnected{Stream: old})
			f.step(ReportReceived{Stream: newer, Report: report})
		})
	})
	t.Run("the former stream ends later", func(t *testing.T) {
		assertKept(t, func(f *fixture, old, newer Stream, report specifier.LeaseReport) {
			f.step(ReportReceived{Stream: newer, Report: report})
			f.step(AgentDisconnected{Stream: old})
		})
	})
	t.Run("a report that the relay held back arrives on the former stream", func(t *testing.T) {
		assertKept(t, func(f *fixture, old, newer Stream, report specifier.LeaseReport) {
			f.step(ReportReceived{Stream: newer, Report: report})
			late := report
			late.Runs = nil
			f.step(ReportReceived{Stream: old, Report: late})
			f.step(AgentDisconnected{Stream: old})
		})
	})
}
