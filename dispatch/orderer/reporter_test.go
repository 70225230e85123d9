package orderer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// mustTell checks which entries are told, in order.
func mustTell(t *testing.T, r *Reporter[string], now time.Time, load specifier.Load, want ...string) {
	t.Helper()
	must.Eq(t, want, r.Due(now, load))
}

// TestReporter guards against entries that take an agent for full or free for ever, and against a flood of reports.
func TestReporter(t *testing.T) {
	full, idle := specifier.Load{Slots: 8, Running: 8}, specifier.Load{Slots: 8}
	t.Run("an entry that takes the agent for full", func(t *testing.T) {
		r := &Reporter[string]{}
		r.Add(start, "a", full)
		r.Add(start, "b", idle)
		mustTell(t, r, start, idle, "a")
		mustTell(t, r, start, idle)
	})
	t.Run("a quiet entry that takes it for free", func(t *testing.T) {
		r := &Reporter[string]{}
		r.Add(start, "a", idle)
		mustTell(t, r, start, full)
		must.Eq(t, start.Add(quietAfter), r.Next(full))
		mustTell(t, r, r.Next(full), full, "a")
		must.True(t, r.Next(full).IsZero())
	})
	t.Run("a burst", func(t *testing.T) {
		r := &Reporter[string]{}
		r.Add(start, "a", full)
		for i := range maxReports {
			mustTell(t, r, start, []specifier.Load{idle, {Slots: 8, Running: 8, Queued: 2}}[i%2], "a")
		}
		mustTell(t, r, start, idle)
		must.True(t, r.Next(idle).IsZero())
		for range 3 {
			r.TaskEnded() // pays for one
		}
		mustTell(t, r, start, idle, "a")
		mustTell(t, r, start, full)
	})
}
