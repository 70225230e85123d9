package sharer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// record lets a party ask for a unit of work each 10 ms for a while, of which it gets a part, and returns the time at the end.
func record(l *Ledger, from time.Time, span time.Duration, parts map[string]float64) time.Time {
	now := from
	for ; now.Before(from.Add(span)); now = now.Add(10 * time.Millisecond) {
		for _, name := range []string{"a", "b", "c"} {
			if part, asks := parts[name]; asks {
				l.Ask(now, name, 1)
				l.Serve(now, name, part)
			}
		}
	}
	return now
}

func mustLead(t *testing.T, l *Ledger, now time.Time, name string, want float64) {
	t.Helper()
	must.InDelta(t, want, l.Lead(now, name), 0.02)
}

func TestLedger(t *testing.T) {
	t.Run("a party leads by what it gets more than the one that gets least", func(t *testing.T) {
		l := &Ledger{}
		now := record(l, epoch, 5*time.Second, map[string]float64{"a": 0.9, "b": 0.8, "c": 0.5})
		mustLead(t, l, now, "a", 0.4)
		mustLead(t, l, now, "b", 0.3)
		mustLead(t, l, now, "c", 0)
	})
	t.Run("a party alone leads nobody", func(t *testing.T) {
		l := &Ledger{}
		mustLead(t, l, record(l, epoch, 5*time.Second, map[string]float64{"a": 0.5}), "a", 0)
	})
	t.Run("a party without demand leaves its part to the others", func(t *testing.T) {
		// Guards against parties that are cut for one that was served badly and has left.
		l := &Ledger{}
		now := record(l, epoch, 5*time.Second, map[string]float64{"a": 0.9, "c": 0.1})
		mustLead(t, l, record(l, now, 6*time.Second, map[string]float64{"a": 0.9}), "a", 0)
	})
	t.Run("work that is refused after it was admitted does not count as served", func(t *testing.T) {
		l := &Ledger{}
		now := record(l, epoch, 5*time.Second, map[string]float64{"a": 1, "b": 1})
		for range 100 {
			l.Serve(now, "b", -1)
		}
		must.Greater(t, 0.3, l.Lead(now, "a"))
	})
	t.Run("the number of parties is bounded", func(t *testing.T) {
		// Guards against memory and time that grow with the names that entries send.
		l := &Ledger{}
		for number := range 1000 {
			l.Ask(epoch, fmt.Sprint(number), 1)
		}
		must.SliceLen(t, maxParties, l.parties)
		l.Ask(epoch.Add(time.Hour), "new", 1)
		must.SliceLen(t, 1, l.parties)
	})
}
