package limiter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// Lessor divides the slots of a service among teams, and each team's part among the entries that need it. Entries
// renew with what they need; between renewals they decide alone. The slots of all valid leases never exceed Slots:
// what an entry may count on is bounded by them, and what runs beyond it is at most what was lent and runs on until
// its tasks end. Slots, Term and the teams are set before use. E names an entry. It is used by one goroutine.
type Lessor[E cmp.Ordered] struct {
	Slots         float64
	LeaseDuration time.Duration // of a lease
	teams         map[string]float64
	held          map[E]holding
}

// holding is what one entry asked for and was granted.
type holding struct {
	need  map[string]float64
	lease Lease
}

// SetTeams replaces the shares.
func (l *Lessor[E]) SetTeams(teams map[string]specifier.Team) {
	l.teams = make(map[string]float64, len(teams))
	for name, each := range teams {
		l.teams[name] = cmp.Or(max(each.Share, 0), 1)
	}
}

// Renew grants an entry a lease by what it and the others need. A part that another entry's valid lease still holds
// is not granted; that entry gives it up at its own next renewal.
func (l *Lessor[E]) Renew(now time.Time, entry E, need map[string]float64) Lease {
	if l.held == nil {
		l.held = make(map[E]holding)
	}
	maps.DeleteFunc(l.held, func(_ E, h holding) bool { return now.After(h.lease.Until) })
	l.held[entry] = holding{need: need, lease: Lease{Until: now.Add(l.LeaseDuration)}}
	parts := l.divide(entry)
	left := l.Slots
	for other, each := range l.held {
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
	l.held[entry] = holding{need: need, lease: lease}
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
			// What no team needs is lent in the same proportions, ready for more work.
			parts[name] = claims[i].Allocated * l.held[entry].need[name] / claims[i].Need * (1 + spare/max(l.Slots-spare, 1))
		}
	}
	return parts
}

// contended reports whether the entries together need more slots than there are.
func (l *Lessor[E]) contended() bool {
	total := 0.0
	for _, team := range slices.Sorted(maps.Keys(l.teams)) {
		total += l.need(team)
	}
	return total > l.Slots
}

// need returns what all entries need for a team, added up in the order of entries so that the sum is the same on
// every run.
func (l *Lessor[E]) need(team string) float64 {
	total := 0.0
	for _, entry := range slices.Sorted(maps.Keys(l.held)) {
		total += l.held[entry].need[team]
	}
	return total
}
