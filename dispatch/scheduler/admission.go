package scheduler

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/admitter"
	"oleandertally/dispatch/orderer"
)

// Admit decides whether a job can finish by its deadline; nil admits it.
func (e *Engine[P, T]) Admit(now time.Time, job specifier.Job, profile specifier.Profile) *Refusal {
	e.init()
	e.profiles[profile.Name] = profile
	pool := e.pools[profile.Service]
	slots := 0
	if pool != nil {
		slots = pool.upSlots()
	}
	if slots == 0 {
		return &Refusal{Reason: specifier.NoWorker, Detail: "no worker serves " + profile.Service, RetryAfter: time.Second}
	}
	demand := e.demand(pool, job, profile, slots, job.Deadline.Sub(now))
	if bound := profile.QueueBound; bound > 0 && demand.Queued+demand.Tasks > bound {
		return &Refusal{Reason: specifier.Overloaded, Detail: "the queue of this entry is full", RetryAfter: time.Second}
	}
	quota := limitTeam(now, pool, job.Team, &demand)
	if ok, retryAfter := e.Admission.Admit(demand); !ok {
		if quota {
			return &Refusal{Reason: specifier.QuotaExceeded, Detail: "the share of the team is used up", RetryAfter: retryAfter}
		}
		return &Refusal{Reason: specifier.Overloaded, Detail: "could not finish before the deadline", RetryAfter: retryAfter}
	}
	return nil
}

// limitTeam sets the job against the work and the slots of its own team, so that a team within its share is not
// refused for the work of another. It reports whether the team's part is what counts.
func limitTeam(now time.Time, pool *pool, team string, demand *admitter.Demand) bool {
	if !pool.limiter.Limits(team) {
		return false
	}
	given := pool.limiter.Allocation(now, team, demand.Slots)
	limited := given < demand.Slots
	demand.Slots = given
	demand.QueuedWork = min(demand.QueuedWork, pool.limiter.WaitingWork(team))
	return limited
}

// demand sets the job against the work of its own lane: short work does not wait for long work.
func (e *Engine[P, T]) demand(pool *pool, job specifier.Job, profile specifier.Profile, slots int, left time.Duration) admitter.Demand {
	mean := e.mean(profile.Name, left)
	kind := laneOf(e.classifier.Class(profile.Name, profile.TypicalTime))
	available := e.share(pool, slots)
	if kind == limited {
		available = min(pool.short.limit(available, orderer.DefaultLongShare), available)
	} else {
		available = max(available-float64(pool.long), 1)
	}
	return admitter.Demand{QueuedWork: pool.work[kind], Queued: pool.queued[free] + pool.queued[limited], Tasks: len(job.Tasks),
		Slots: available, Work: time.Duration(len(job.Tasks)) * mean, Longest: mean, TimeLeft: left}
}

// share returns the slots that this entry can count on: those that it uses and those believed to be free,
// at least an equal part. Tasks that wait at an agent use none, so an agent's slots are divided in the
// proportion of the tasks held there.
func (e *Engine[P, T]) share(pool *pool, slots int) float64 {
	own := 0.0
	for _, agent := range pool.agents {
		own += agent.part()
	}
	return max(own+float64(pool.freeSlots()), float64(slots)/float64(max(e.entries, 1)))
}

// part returns how many of the agent's slots this entry's tasks are believed to use.
func (a *agent) part() float64 {
	held, slots := float64(len(a.held)), float64(a.slots())
	return min(held, slots*held/max(held+float64(a.others), 1))
}

// upSlots returns the slots of agents that take new work.
func (p *pool) upSlots() int {
	total := 0
	for _, agent := range p.agents {
		total += agent.slots()
	}
	return total
}
