package scheduler

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/limiter"
)

// SetTeams replaces the teams and their shares. Without teams, no team is limited.
func (e *Engine[P, T]) SetTeams(now time.Time, teams map[string]specifier.Team) {
	e.init()
	e.teams = teams
	for _, pool := range e.sortedPools {
		pool.limiter.SetTeams(teams)
	}
}

// SetLease replaces this entry's lease for the slots of a service. Lease.Until is on this entry's clock.
func (e *Engine[P, T]) SetLease(now time.Time, service string, lease limiter.Lease) {
	e.init()
	e.pool(service).limiter.SetLease(lease)
}

// Need returns how many slots of a service each team with tasks at this entry could use, for the renewal of the lease.
func (e *Engine[P, T]) Need(service string) map[string]float64 {
	e.init()
	return e.pool(service).limiter.Need()
}

// teamDelay returns how far the items of a job are moved back in the order because of their team's share.
func (e *Engine[P, T]) teamDelay(now time.Time, first Item) time.Duration {
	pool := e.pool(first.Service)
	if !pool.limiter.Limits(first.Team) {
		return 0
	}
	return pool.limiter.Delay(now, first.Team, e.availableSlots(pool, pool.usableSlots()))
}
