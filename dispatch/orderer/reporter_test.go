package orderer

import (
	"testing"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// TestReporter guards against entries that take an agent for full for ever, and against a flood of reports.
func TestReporter(t *testing.T) {
	full, idle := specifier.Load{Slots: 8, Running: 8}, specifier.Load{Slots: 8}
	r := &Reporter[string]{}
	r.Add(start, "a", full)
	r.Add(start, "b", idle)
	must.SliceEmpty(t, r.Due(start, idle))
	for range 3 {
		r.Ended()
	}
	must.Eq(t, []string{"a"}, r.Due(start, idle))
	must.SliceEmpty(t, r.Due(start, idle))
	must.SliceEmpty(t, r.Due(start, specifier.Load{Slots: 8, Running: 8, Queued: 2}))
}
