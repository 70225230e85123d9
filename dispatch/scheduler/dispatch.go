package scheduler

import (
	"time"
)

// Dispatch returns what can be sent now, in order. The slice is valid until the next call.
func (e *Engine[P, T]) Dispatch(now time.Time) []Assignment {
	e.sending = e.sending[:0]
	e.dispatched = now
	e.wake(now)
	if e.queued() == 0 {
		return nil
	}
	e.refresh(now)
	for _, pool := range e.order {
		for e.sendNext(now, pool) {
		}
	}
	return e.sending
}

// sendNext sends the first task, of either lane, for which an agent has room.
func (e *Engine[P, T]) sendNext(now time.Time, pool *pool) bool {
	first, ok := pool.peek(free)
	if second, also := pool.peek(limited); also && (!ok || second.item.Order.Less(first.item.Order)) {
		if e.send(now, pool, second) {
			return true
		}
	} else if !also || !ok {
		return ok && e.send(now, pool, first)
	} else if e.send(now, pool, first) {
		return true
	} else {
		return e.send(now, pool, second)
	}
	return ok && e.send(now, pool, first)
}

// send places the first task of a lane.
func (e *Engine[P, T]) send(now time.Time, pool *pool, next *task) bool {
	rule := e.rule(now)
	rule.patient = next.lane == limited || next.item.Order.At.Sub(now) > urgentWithin
	if next.late(now) {
		e.abandon(next.job)
		return true
	}
	agent := T(&e.placement).pick(pool, next.lane, rule, e.random)
	if agent == nil {
		return false
	}
	pool.waiting[next.lane].Pop()
	pool.count(next, -1)
	next.agent, next.sent = agent, now
	next.attempts++
	agent.held[next.item.Key] = next
	next.job.note(next)
	pool.held++
	pool.limiter.AddAssigned(next.item.Team, 1)
	pool.short.observe(now, pool.held-pool.long)
	if next.lane == limited {
		agent.long++
		pool.long++
		agent.zone.long++
	}
	if agent.pace(now); agent.paced == paceTasks {
		e.paced = append(e.paced, agent)
	}
	e.ejector.TaskSent(&agent.health)
	e.update(now, agent)
	e.sending = append(e.sending, Assignment{Agent: agent.member.Identity, Item: next.item})
	return true
}

func (a *agent) pace(now time.Time) {
	if now.Sub(a.paceAt) >= paceInterval {
		a.paceAt, a.paced = now, 0
	}
	a.paced++
}
