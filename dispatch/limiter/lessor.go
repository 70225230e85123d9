package limiter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// Lessor divides the slots of a service among teams, and each team's part among the entries that need it. Entries
// report their need when they renew a lease, and decide on their own between renewals. The slots of all valid leases
// never exceed Slots. Tasks that run beyond a lease use at most the slots that were lent, and run until they end.
// Slots, LeaseDuration and the teams are set before use. E identifies an entry. A Lessor is not safe for concurrent
// use.
type Lessor[E cmp.Ordered] struct {
	Slots         float64
	LeaseDuration time.Duration
	teams         map[string]float64
	grants        map[E]grant
}

// grant is the need that one entry reported and the lease that it was granted.
type grant struct {
	need  map[string]float64
	lease Lease
}

// SetTeams replaces the teams and their shares.
func (l *Lessor[E]) SetTeams(teams map[string]specifier.Team) {
	l.teams = make(map[string]float64, len(teams))
	for name, each := range teams {
		l.teams[name] = cmp.Or(max(each.Share, 0), 1)
	}
}

// Renew grants a lease to an entry, based on the needs of all entries. Slots that are still part of another entry's
// valid lease are not granted; the other entry releases them at its own next renewal.
func (l *Lessor[E]) Renew(now time.Time, entry E, need map[string]float64) Lease {
	if l.grants == nil {
		l.grants = make(map[E]grant)
	}
	maps.DeleteFunc(l.grants, func(_ E, g grant) bool { return now.After(g.lease.Until) })
	l.grants[entry] = grant{need: need, lease: Lease{Until: now.Add(l.LeaseDuration)}}
	parts := l.divide(entry)
	left := l.Slots
	for other, each := range l.grants {
		if other != entry {
			left -= each.lease.Total()
		}
	}
	total := 0.0
	for _, slots := range parts {
		total += slots
	}
	if total > 0 && total > left {
		for team := range parts {
			parts[team] *= max(left, 0) / total
		}
	}
	lease := Lease{Until: now.Add(l.LeaseDuration), Slots: parts, Contended: l.contended()}
	l.grants[entry] = grant{need: need, lease: lease}
	return lease
}

// divide returns the entry's part of each team's slots.
func (l *Lessor[E]) divide(entry E) map[string]float64 {
	names := slices.Sorted(maps.Keys(l.teams))
	claims := make([]Claim, len(names))
	for i, name := range names {
		claims[i] = Claim{Share: l.teams[name], Need: l.need(name)}
	}
	Allocate(l.Slots, claims)
	spare := l.Slots
	for _, claim := range claims {
		spare -= claim.Allocated
	}
	parts := make(map[string]float64, len(names))
	for i, name := range names {
		if claims[i].Need > 0 {
			// Slots that no team needs are lent in the same proportions, so that entries can use them for new work immediately.
			parts[name] = claims[i].Allocated * l.grants[entry].need[name] / claims[i].Need * (1 + spare/max(l.Slots-spare, 1))
		}
	}
	return parts
}

// contended reports whether the entries together need more slots than exist.
func (l *Lessor[E]) contended() bool {
	total := 0.0
	for _, team := range slices.Sorted(maps.Keys(l.teams)) {
		total += l.need(team)
	}
	return total > l.Slots
}

// need returns the need of all entries for a team. The entries are added in sorted order, so that the floating-point
// sum is the same on every run.
func (l *Lessor[E]) need(team string) float64 {
	total := 0.0
	for _, entry := range slices.Sorted(maps.Keys(l.grants)) {
		total += l.grants[entry].need[team]
	}
	return total
}
