package scheduler

import (
	"time"

	"oleandertally/core/specifier"
)

// SetTeams replaces the shares of the teams. None: no team is limited.
func (e *Engine[P, T]) SetTeams(now time.Time, teams map[string]specifier.Team) {
	e.init()
	e.teams = teams
	for _, pool := range e.order {
		pool.limiter.SetTeams(teams)
	}
}

// teamDelay returns how far the team of a job's items moves back in the order.
func (e *Engine[P, T]) teamDelay(first Item) time.Duration {
	pool := e.pool(first.Service)
	if !pool.limiter.Limits(first.Team) {
		return 0
	}
	return pool.limiter.Delay(first.Team, e.share(pool, pool.upSlots()))
}
