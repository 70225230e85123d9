package orderer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// mustReport checks to which entries the load is sent, in order.
func mustReport(t *testing.T, r *LoadReporter[string], now time.Time, load specifier.Load, want ...string) {
	t.Helper()
	must.Eq(t, want, r.Due(now, load))
}

// TestLoadReporter guards against entries that assume forever that an agent is full or free, because nothing corrects their
// view, and against too many reports.
func TestLoadReporter(t *testing.T) {
	full, idle := specifier.Load{Slots: 8, Running: 8}, specifier.Load{Slots: 8}
	t.Run("an entry that assumes that the agent is full gets a report", func(t *testing.T) {
		r := &LoadReporter[string]{}
		r.Add(start, "a", full)
		r.Add(start, "b", idle)
		mustReport(t, r, start, idle, "a")
		mustReport(t, r, start, idle)
	})
	t.Run("an entry that assumes free slots gets a report after the quiet delay", func(t *testing.T) {
		r := &LoadReporter[string]{}
		r.Add(start, "a", idle)
		mustReport(t, r, start, full)
		must.Eq(t, start.Add(quietDelay), r.Next(full))
		mustReport(t, r, r.Next(full), full, "a")
		must.True(t, r.Next(full).IsZero())
	})
	t.Run("a burst of reports is limited", func(t *testing.T) {
		r := &LoadReporter[string]{}
		r.Add(start, "a", full)
		for i := range maxReportBurst {
			mustReport(t, r, start, []specifier.Load{idle, {Slots: 8, Running: 8, Queued: 2}}[i%2], "a")
		}
		mustReport(t, r, start, idle)
		must.True(t, r.Next(idle).IsZero())
		for range 3 {
			r.TaskEnded() // credit for one report
		}
		mustReport(t, r, start, idle, "a")
		mustReport(t, r, start, full)
	})
}
