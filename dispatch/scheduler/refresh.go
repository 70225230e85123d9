package scheduler

import (
	"slices"
	"time"

	"oleandertally/dispatch/orderer"
)

// Next returns the time at which Dispatch should run again without a new event, or the zero time.
func (e *Engine[P, T]) Next() time.Time {
	var next time.Time
	if first, ok := e.delayed.Peek(); ok {
		next = first.at
	}
	if e.queued() == 0 {
		return next
	}
	refresh := e.refreshedAt.Add(refreshInterval)
	// The end of a pace interval counts only if it is after the last dispatch. A time that Dispatch has already handled
	// must not be returned again, or the calling loop would spin.
	if len(e.pacedAgents) > 0 {
		if paced := e.pacedAgents[0].paceStart.Add(paceInterval); paced.Before(refresh) && paced.After(e.dispatchedAt) {
			refresh = paced
		}
	}
	if next.IsZero() || refresh.Before(next) {
		return refresh
	}
	return next
}

// refreshIndexes updates the capacity of all agents once per refreshInterval, because it depends on the age of reports.
// Between these updates, it updates the agents whose pace interval has ended, so that they can be sent more tasks.
func (e *Engine[P, T]) refreshIndexes(now time.Time) {
	if now.Sub(e.refreshedAt) >= refreshInterval {
		e.refreshedAt = now
		e.pacedAgents = e.pacedAgents[:0]
		slow := now.Sub(e.slowCheckedAt) >= slowCheckInterval
		if slow {
			e.slowCheckedAt = now
		}
		for _, pool := range e.sortedPools {
			for _, agent := range pool.agents {
				if slow {
					e.countSlowTasks(now, agent)
				}
				e.updateIndex(now, agent)
			}
		}
		return
	}
	for len(e.pacedAgents) > 0 && now.Sub(e.pacedAgents[0].paceStart) >= paceInterval {
		e.updateIndex(now, e.pacedAgents[0])
		e.pacedAgents = slices.Delete(e.pacedAgents, 0, 1)
	}
}

// updateIndex moves an agent to the level of its capacity, in each lane.
func (e *Engine[P, T]) updateIndex(now time.Time, agent *agent) {
	capacity := T(&e.placement).capacity(now, agent, e.constraints(now))
	for lane := range laneCount {
		agent.zone.index[lane].Set(&agent.members[lane], capacity[lane])
	}
}

func (e *Engine[P, T]) constraints(now time.Time) constraints {
	return constraints{zone: e.Zone, entries: max(e.entries, 1), longShare: orderer.DefaultLongShare, mayBorrow: now.Sub(e.lastShortAt) >= borrowDelay}
}
