package scheduler

import (
	"slices"
	"time"

	"oleandertally/dispatch/orderer"
)

// Next returns when Dispatch should run again though no event came, or the zero time.
func (e *Engine[P, T]) Next() time.Time {
	var next time.Time
	if first, ok := e.delayed.Peek(); ok {
		next = first.at
	}
	if e.queued() == 0 {
		return next
	}
	refresh := e.refreshed.Add(refreshEvery)
	// Only an agent that still waits for its pace counts, and only after the last dispatch: a time that Dispatch has
	// handled must not come again, or the caller's loop would spin.
	if len(e.paced) > 0 {
		if paced := e.paced[0].paceAt.Add(paceInterval); paced.Before(refresh) && paced.After(e.dispatched) {
			refresh = paced
		}
	}
	if next.IsZero() || refresh.Before(next) {
		return refresh
	}
	return next
}

// refresh computes the room of all agents again every refreshEvery, since the views age, and that of agents that were
// sent several tasks at once as soon as they may get more.
func (e *Engine[P, T]) refresh(now time.Time) {
	if now.Sub(e.refreshed) >= refreshEvery {
		e.refreshed = now
		e.paced = e.paced[:0]
		slow := now.Sub(e.slowAt) >= slowEvery
		if slow {
			e.slowAt = now
		}
		for _, pool := range e.order {
			for _, agent := range pool.agents {
				if slow {
					e.findSlow(now, agent)
				}
				e.update(now, agent)
			}
		}
		return
	}
	for len(e.paced) > 0 && now.Sub(e.paced[0].paceAt) >= paceInterval {
		e.update(now, e.paced[0])
		e.paced = slices.Delete(e.paced, 0, 1)
	}
}

// update moves an agent to the level of its room.
func (e *Engine[P, T]) update(now time.Time, agent *agent) {
	room := T(&e.placement).room(now, agent, e.rule(now))
	for kind := range lanes {
		agent.zone.index[kind].put(agent, kind, room[kind])
	}
}

func (e *Engine[P, T]) rule(now time.Time) rule {
	return rule{local: e.Zone, entries: max(e.entries, 1), longShare: orderer.DefaultLongShare, lend: now.Sub(e.lastShort) >= lendAfter}
}
