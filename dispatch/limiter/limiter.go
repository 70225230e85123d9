package limiter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// Limiter divides the slots available to one entry among teams. A team's unused share is lent to other teams. A team
// regains lent slots through the order and admission of new tasks; running tasks are never stopped. The zero value is
// ready to use and limits nothing. A Limiter is not safe for concurrent use.
type Limiter struct {
	teams  map[string]*team
	order  []*team // by name
	claims []Claim // buffer of allocate
	lease  Lease
}

// team is the share and the current tasks of one team.
type team struct {
	name     string
	share    float64
	assigned int           // tasks assigned to agents
	waiting  int           // waiting tasks
	work     time.Duration // expected run time of the waiting tasks
}

const (
	// needFactor and needExtra reserve slots for a team beyond its current use, so that slots are not lent and
	// reclaimed repeatedly when the use varies within seconds.
	needFactor = 1.2
	needExtra  = 1
)

// SetTeams replaces the teams and their shares. Without teams, nothing is limited.
func (l *Limiter) SetTeams(teams map[string]specifier.Team) {
	if l.teams == nil {
		l.teams = make(map[string]*team)
	}
	for name, each := range teams {
		share := each.Share
		if share <= 0 {
			share = 1
		}
		if t := l.teams[name]; t != nil {
			t.share = share
			continue
		}
		l.teams[name] = &team{name: name, share: share}
	}
	l.order = l.order[:0]
	for name, each := range l.teams {
		// A removed team stays with a share of zero, so that its counts remain correct until its tasks have ended.
		if _, ok := teams[name]; !ok {
			each.share = 0
		}
		l.order = append(l.order, each)
	}
	slices.SortFunc(l.order, func(a, b *team) int { return cmp.Compare(a.name, b.name) })
}

// Limits reports whether the team's use of slots is limited by a share.
func (l *Limiter) Limits(name string) bool { return l.teams[name] != nil }

// AddAssigned changes the number of a team's tasks that are assigned to agents.
func (l *Limiter) AddAssigned(name string, change int) {
	if t := l.teams[name]; t != nil {
		t.assigned += change
	}
}

// AddWaiting changes the number of a team's waiting tasks, and their expected run time in total.
func (l *Limiter) AddWaiting(name string, change int, work time.Duration) {
	if t := l.teams[name]; t != nil {
		t.waiting += change
		t.work += work
	}
}

// WaitingWork returns the expected run time of the team's waiting tasks.
func (l *Limiter) WaitingWork(name string) time.Duration { return l.teams[name].work }

// SetLease replaces the lease of this entry. Without a valid lease, the entry uses an equal part of each share.
func (l *Limiter) SetLease(lease Lease) { l.lease = lease }

// Need returns the number of slots that each team with tasks could use, for the next renewal of the lease.
func (l *Limiter) Need() map[string]float64 {
	need := make(map[string]float64)
	for _, each := range l.order {
		if each.assigned+each.waiting > 0 {
			need[each.name] = each.need()
		}
	}
	return need
}

// Allocation returns how many of the slots available to this entry a team may use if it has enough work for all. With
// a valid lease, this is the number in the lease, but at least the team's share. Without one, the slots are divided
// among the teams that have work.
func (l *Limiter) Allocation(now time.Time, name string, slots float64) float64 {
	if !now.Before(l.lease.Until) {
		return l.allocate(name, slots, math.Inf(1))
	}
	// A team that needs more than at the last renewal gets its share of this entry's equal part immediately. Over
	// all entries, this adds up to the team's share, so that the excess is at most what other teams borrow of that share.
	return max(l.lease.Slots[name], l.guarantee(name, slots))
}

// guarantee returns the team's share of slots.
func (l *Limiter) guarantee(name string, slots float64) float64 {
	total := 0.0
	for _, each := range l.order {
		total += each.share
	}
	return slots * l.teams[name].share / max(total, 1e-9)
}

// Delay returns how far the team's next task is moved back in the order: the time that its waiting work takes on its
// allocation. Delay is 0 while the team needs no more than its allocation, or no other team competes for slots.
func (l *Limiter) Delay(now time.Time, name string, slots float64) time.Duration {
	t := l.teams[name]
	if t == nil {
		return 0
	}
	given := l.Allocation(now, name, slots)
	if t.need() <= given || !l.contended(now, t) {
		return 0
	}
	return time.Duration(float64(t.work) / max(given, 1))
}

// need returns the slots that the team could use now.
func (t *team) need() float64 { return needFactor*float64(t.assigned+t.waiting) + needExtra }

// contended reports whether another team has waiting tasks at this entry, or the lease reports contention at other entries.
func (l *Limiter) contended(now time.Time, except *team) bool {
	if now.Before(l.lease.Until) && l.lease.Contended {
		return true
	}
	return slices.ContainsFunc(l.order, func(t *team) bool { return t != except && t.waiting > 0 })
}

// allocate divides slots among the teams, with the given need for the named team, and returns that team's part.
func (l *Limiter) allocate(name string, slots, need float64) float64 {
	l.claims = l.claims[:0]
	at := -1
	for i, each := range l.order {
		claim := Claim{Share: each.share, Need: each.need()}
		if each.assigned+each.waiting == 0 {
			claim.Need = 0
		}
		if each.name == name {
			at, claim.Need = i, need
		}
		l.claims = append(l.claims, claim)
	}
	if at < 0 {
		return slots
	}
	Allocate(slots, l.claims)
	return l.claims[at].Allocated
}
