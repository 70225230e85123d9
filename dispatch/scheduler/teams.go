package scheduler

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/limiter"
)

// SetTeams replaces the shares of the teams. None: no team is limited.
func (e *Engine[P, T]) SetTeams(now time.Time, teams map[string]specifier.Team) {
	e.init()
	e.teams = teams
	for _, pool := range e.order {
		pool.limiter.SetTeams(teams)
	}
}

// SetLease replaces the slots of a service that this entry may count on. Until is on this entry's clock.
func (e *Engine[P, T]) SetLease(now time.Time, service string, lease limiter.Lease) {
	e.init()
	e.pool(service).limiter.SetLease(lease)
}

// Need returns the slots of a service that each team with work at this entry could use, to renew a lease with.
func (e *Engine[P, T]) Need(service string) map[string]float64 {
	e.init()
	return e.pool(service).limiter.Need()
}

// teamDelay returns how far the team of a job's items moves back in the order.
func (e *Engine[P, T]) teamDelay(now time.Time, first Item) time.Duration {
	pool := e.pool(first.Service)
	if !pool.limiter.Limits(first.Team) {
		return 0
	}
	return pool.limiter.Delay(now, first.Team, e.share(pool, pool.upSlots()))
}
