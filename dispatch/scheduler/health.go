package scheduler

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/ejector"
)

// breaker decides when a worker is ejected. docs/policies.md compares it with the sliding window.
type breaker = ejector.Consecutive

// health is the health of one agent's worker.
type health = ejector.Worker[breaker, *breaker]

// Ejections returns the agents whose workers were ejected since the last call, for the timeline.
func (e *Engine[P, T]) Ejections() []specifier.Identity {
	ejected := e.ejected
	e.ejected = nil
	return ejected
}

// recordOutcome passes the result of a task on an agent to the ejector.
func (e *Engine[P, T]) recordOutcome(now time.Time, agent *agent, task *task, ok bool, runTime time.Duration) {
	profile := e.profiles[task.item.Profile]
	outcome := ejector.Outcome{Job: task.item.Key.Job, OK: ok, Sent: task.sentAt, RunTime: runTime,
		Expected: e.classifier.Mean(task.item.Profile, profile.TypicalTime), Threshold: profile.BreakerAfter}
	if task.countedSlow {
		outcome.Expected = 0
	}
	if e.ejector.Record(now, &agent.health, outcome, len(agent.pool.agents)) {
		e.ejected = append(e.ejected, agent.member.Identity)
	}
}

// healthLimit returns how many tasks may be assigned to the agent, given the health of its worker.
func (a *agent) healthLimit(now time.Time, slots int) int {
	since := 0
	if failed := a.health.FailedAt(); !failed.IsZero() {
		for _, task := range a.assigned {
			if !task.sentAt.Before(failed) {
				since++
			}
		}
		if since == 0 {
			return len(a.assigned) + 1
		}
	}
	return a.health.Limit(now, slots, since)
}

// countSlowTasks counts tasks that have run far longer than expected, so that a straggler is detected before its tasks
// end. The map order is irrelevant, since each task counts the same.
func (e *Engine[P, T]) countSlowTasks(now time.Time, agent *agent) {
	for _, task := range agent.assigned {
		if !task.countedSlow && now.Sub(task.sentAt) > maxQueueTime+ejector.SlowRatio*task.expected && task.expected > 0 {
			task.countedSlow = true
			agent.health.RecordSlow()
		}
	}
}
