package limiter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// Limiter divides the slots that one entry can count on among teams. A team's unused share is lent to the
// others; it is taken back by order and admission, never by stopping work. It is used by one goroutine; the
// zero value is ready and limits nothing.
type Limiter struct {
	teams  map[string]*team
	order  []*team // by name
	claims []Claim // reused
	lease  Lease
}

// team is what one team holds and waits for.
type team struct {
	name    string
	share   float64
	held    int           // tasks at agents
	waiting int           // tasks
	work    time.Duration // expected run time of the waiting tasks
}

const (
	// needFactor and needExtra are what a team is kept beyond what it uses now, so that a part of a share that
	// varies within seconds is not lent and asked back all the time.
	needFactor = 1.2
	needExtra  = 1
)

// SetTeams replaces the shares. No teams: nothing is limited.
func (l *Limiter) SetTeams(teams map[string]specifier.Team) {
	if l.teams == nil {
		l.teams = make(map[string]*team)
	}
	for name, each := range teams {
		share := each.Share
		if share <= 0 {
			share = 1
		}
		if known := l.teams[name]; known != nil {
			known.share = share
			continue
		}
		l.teams[name] = &team{name: name, share: share}
	}
	l.order = l.order[:0]
	for name, each := range l.teams {
		// A team that was removed keeps its counts until its tasks have ended, with no share.
		if _, ok := teams[name]; !ok {
			each.share = 0
		}
		l.order = append(l.order, each)
	}
	slices.SortFunc(l.order, func(a, b *team) int { return cmp.Compare(a.name, b.name) })
}

// Limits reports whether the team is subject to a share.
func (l *Limiter) Limits(name string) bool { return l.teams[name] != nil }

// AddAssigned notes that agents hold change more tasks of a team.
func (l *Limiter) AddAssigned(name string, change int) {
	if known := l.teams[name]; known != nil {
		known.held += change
	}
}

// AddWaiting notes that change more tasks of a team wait, with the given run time in all.
func (l *Limiter) AddWaiting(name string, change int, work time.Duration) {
	if known := l.teams[name]; known != nil {
		known.waiting += change
		known.work += work
	}
}

// WaitingWork returns the expected run time of the team's waiting tasks.
func (l *Limiter) WaitingWork(name string) time.Duration { return l.teams[name].work }

// SetLease replaces what the entry may count on. Without a valid lease, the entry counts on an equal part of each
// share.
func (l *Limiter) SetLease(lease Lease) { l.lease = lease }

// Need returns the slots that each team with work could use, to renew the lease with.
func (l *Limiter) Need() map[string]float64 {
	need := make(map[string]float64)
	for _, each := range l.order {
		if each.held+each.waiting > 0 {
			need[each.name] = each.need()
		}
	}
	return need
}

// Allocation returns how many of slots, this entry's part, a team gets if it has enough work for all: what its lease
// says, or at least its share of those teams that have work.
func (l *Limiter) Allocation(now time.Time, name string, slots float64) float64 {
	if !now.Before(l.lease.Until) {
		return l.fill(name, slots, math.Inf(1))
	}
	// A team that asks for more than at its last renewal has its own share of an equal part at once. For all entries
	// together this is its share, so that the overshoot is at most what other teams borrow of it.
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

// Delay returns how far the team's next task moves back in the order: the time that its waiting work takes on its
// allocation, or 0 while it uses no more than that.
func (l *Limiter) Delay(now time.Time, name string, slots float64) time.Duration {
	known := l.teams[name]
	if known == nil {
		return 0
	}
	given := l.Allocation(now, name, slots)
	if known.need() <= given || !l.contended(now, known) {
		return 0
	}
	return time.Duration(float64(known.work) / max(given, 1))
}

// need returns the slots that the team could use now.
func (t *team) need() float64 { return needFactor*float64(t.held+t.waiting) + needExtra }

// contended reports whether another team has work, here or, as the lease shows, at other entries.
func (l *Limiter) contended(now time.Time, except *team) bool {
	if now.Before(l.lease.Until) && l.lease.Contended {
		return true
	}
	return slices.ContainsFunc(l.order, func(t *team) bool { return t != except && t.waiting > 0 })
}

// fill divides slots with the given need for one team, and returns its part.
func (l *Limiter) fill(name string, slots, need float64) float64 {
	l.claims = l.claims[:0]
	at := -1
	for i, each := range l.order {
		claim := Claim{Share: each.share, Need: each.need()}
		if each.held+each.waiting == 0 {
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
