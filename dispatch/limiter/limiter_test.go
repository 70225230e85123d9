package limiter

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"oleandertally/core/specifier"
)

var start = time.Unix(0, 0)

// TestAllocate guards against slots that stay idle while a team needs them, and against allocating more slots than exist.
func TestAllocate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.Float64Range(0, 100).Draw(t, "slots")
		claims := make([]Claim, rapid.IntRange(1, 8).Draw(t, "teams"))
		need := 0.0
		for i := range claims {
			claims[i] = Claim{Share: rapid.Float64Range(0.1, 10).Draw(t, "share"), Need: rapid.Float64Range(0, 60).Draw(t, "need")}
			need += claims[i].Need
		}
		Allocate(slots, claims)
		given := 0.0
		for _, each := range claims {
			must.LessEq(t, each.Need+1e-9, each.Allocated)
			given += each.Allocated
		}
		must.InDelta(t, min(slots, need), given, 1e-6)
	})
}

// TestLeases guards against over-commitment: several entries, which renew at different times, together have valid leases
// for more slots than exist.
func TestLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Lessor[int]{Slots: 88, LeaseDuration: 3 * time.Second}
		l.SetTeams(map[string]specifier.Team{"a": {Share: 1}, "b": {Share: 3}})
		valid, now := map[int]Lease{}, start
		for range 30 {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			entry := rapid.IntRange(0, 3).Draw(t, "entry")
			need := map[string]float64{"a": rapid.Float64Range(0, 100).Draw(t, "a"), "b": rapid.Float64Range(0, 100).Draw(t, "b")}
			valid[entry] = l.Renew(now, entry, need)
			total := 0.0
			for _, lease := range valid {
				if !now.After(lease.Until) {
					total += lease.Total()
				}
			}
			must.LessEq(t, 88+1e-6, total)
		}
	})
}

func TestLimiter(t *testing.T) {
	l := &Limiter{}
	l.SetTeams(map[string]specifier.Team{"a": {Share: 1}, "b": {Share: 3}})
	l.AddWaiting("a", 100, time.Minute)
	t.Run("an unused share is lent to another team", func(t *testing.T) {
		must.Eq(t, 40, l.Allocation(start, "a", 40))
		must.Eq(t, 0, l.Delay(start, "a", 40))
	})
	t.Run("a lent share is reclaimed when its team has work", func(t *testing.T) {
		l.AddWaiting("b", 100, time.Minute)
		must.Eq(t, 10, l.Allocation(start, "a", 40))
		must.Eq(t, 6*time.Second, l.Delay(start, "a", 40))
	})
	t.Run("a team without a share is not limited", func(t *testing.T) { must.False(t, l.Limits("c")) })
}
