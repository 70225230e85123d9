package scheduler

import (
	"time"
)

// Dispatch returns the assignments that can be sent now, in order. The slice is valid until the next call.
func (e *Engine[P, T]) Dispatch(now time.Time) []Assignment {
	e.assignments = e.assignments[:0]
	e.dispatchedAt = now
	e.pushDelayed(now)
	if e.queued() == 0 {
		return nil
	}
	e.refreshIndexes(now)
	for _, pool := range e.sortedPools {
		for e.sendNext(now, pool) {
		}
	}
	return e.assignments
}

// sendNext sends the first task, from either lane, for which an agent has capacity. It returns false if there is no such task.
func (e *Engine[P, T]) sendNext(now time.Time, pool *pool) bool {
	short, hasShort := pool.peek(shortLane)
	if long, hasLong := pool.peek(longLane); hasLong && (!hasShort || long.item.Order.Less(short.item.Order)) {
		if e.send(now, pool, long) {
			return true
		}
	} else if !hasLong || !hasShort {
		return hasShort && e.send(now, pool, short)
	} else if e.send(now, pool, short) {
		return true
	} else {
		return e.send(now, pool, long)
	}
	return hasShort && e.send(now, pool, short)
}

// send assigns the first task of a lane to an agent, or abandons the task's job if the task is too late. It returns
// false if no agent has capacity.
func (e *Engine[P, T]) send(now time.Time, pool *pool, next *task) bool {
	c := e.constraints(now)
	c.canWait = next.lane == longLane || next.item.Order.At.Sub(now) > urgentWindow
	if next.tooLate(now) {
		e.abandon(next.job)
		return true
	}
	agent := T(&e.placement).pick(pool, next.lane, c, e.random)
	if agent == nil {
		return false
	}
	pool.waiting[next.lane].Pop()
	pool.addToTotals(next, -1)
	next.agent, next.sentAt = agent, now
	next.attempts++
	agent.assigned[next.item.Key] = next
	next.job.addSent(next)
	pool.assigned++
	pool.limiter.AddAssigned(next.item.Team, 1)
	pool.shortNeed.observe(now, pool.assigned-pool.longAssigned)
	if next.lane == longLane {
		agent.longAssigned++
		pool.longAssigned++
		agent.zone.longAssigned++
	}
	if agent.countSent(now); agent.sentInPace == paceTasks {
		e.pacedAgents = append(e.pacedAgents, agent)
	}
	e.ejector.TaskSent(&agent.health)
	e.updateIndex(now, agent)
	e.assignments = append(e.assignments, Assignment{Agent: agent.member.Identity, Item: next.item})
	return true
}

func (a *agent) countSent(now time.Time) {
	if now.Sub(a.paceStart) >= paceInterval {
		a.paceStart, a.sentInPace = now, 0
	}
	a.sentInPace++
}
