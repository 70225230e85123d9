package scheduler

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/admitter"
	"oleandertally/dispatch/orderer"
)

// Admit decides whether a job can finish by its deadline. It returns nil if the job is admitted.
func (e *Engine[P, T]) Admit(now time.Time, job specifier.Job, profile specifier.Profile) *Refusal {
	e.init()
	e.profiles[profile.Name] = profile
	pool := e.pools[profile.Service]
	slots := 0
	if pool != nil {
		slots = pool.usableSlots()
	}
	if slots == 0 {
		return &Refusal{Reason: specifier.NoWorker, Detail: "no worker serves " + profile.Service, RetryAfter: time.Second}
	}
	demand := e.demand(pool, job, profile, slots, job.Deadline.Sub(now))
	if bound := profile.QueueBound; bound > 0 && demand.Queued+demand.Tasks > bound {
		return &Refusal{Reason: specifier.Overloaded, Detail: "the queue of this entry is full", RetryAfter: time.Second}
	}
	quota := applyTeamLimit(now, pool, job.Team, &demand)
	if ok, retryAfter := e.Admission.Admit(demand); !ok {
		if quota {
			return &Refusal{Reason: specifier.QuotaExceeded, Detail: "the share of the team is used up", RetryAfter: retryAfter}
		}
		return &Refusal{Reason: specifier.Overloaded, Detail: "could not finish before the deadline", RetryAfter: retryAfter}
	}
	return nil
}

// applyTeamLimit limits demand to the waiting work and the slots of the job's own team, so that a team within its share
// is not refused because of another team's work. It reports whether the team has fewer slots than the entry.
func applyTeamLimit(now time.Time, pool *pool, team string, demand *admitter.Demand) bool {
	if !pool.limiter.Limits(team) {
		return false
	}
	given := pool.limiter.Allocation(now, team, demand.Slots)
	limited := given < demand.Slots
	demand.Slots = given
	demand.QueuedWork = min(demand.QueuedWork, pool.limiter.WaitingWork(team))
	return limited
}

// demand compares the job with the work in its own lane only, since short work does not wait for long work.
func (e *Engine[P, T]) demand(pool *pool, job specifier.Job, profile specifier.Profile, slots int, left time.Duration) admitter.Demand {
	mean := e.expectedRunTime(profile.Name, left)
	lane := laneOf(e.classifier.Class(profile.Name, profile.TypicalTime))
	available := e.availableSlots(pool, slots)
	if lane == longLane {
		available = min(pool.shortNeed.maxLong(available, orderer.DefaultLongShare), available)
	} else {
		available = max(available-float64(pool.longAssigned), 1)
	}
	return admitter.Demand{QueuedWork: pool.work[lane], Queued: pool.queued[shortLane] + pool.queued[longLane], Tasks: len(job.Tasks),
		Slots: available, Work: time.Duration(len(job.Tasks)) * mean, Longest: mean, TimeLeft: left}
}

// availableSlots returns the number of slots available to this entry: those that its tasks use and those assumed to be
// free, but at least an equal part of all slots. Tasks that wait at an agent use no slot, so an agent's slots are divided
// among the entries in proportion to their tasks at the agent.
func (e *Engine[P, T]) availableSlots(pool *pool, slots int) float64 {
	own := 0.0
	for _, agent := range pool.agents {
		own += agent.ownSlots()
	}
	return max(own+float64(pool.freeSlots()), float64(slots)/float64(max(e.entries, 1)))
}

// ownSlots returns the estimated number of the agent's slots that this entry's tasks use.
func (a *agent) ownSlots() float64 {
	own, slots := float64(len(a.assigned)), float64(a.slots())
	return min(own, slots*own/max(own+float64(a.otherTasks), 1))
}

// usableSlots returns the number of slots of agents that accept new work.
func (p *pool) usableSlots() int {
	total := 0
	for _, agent := range p.agents {
		total += agent.slots()
	}
	return total
}
