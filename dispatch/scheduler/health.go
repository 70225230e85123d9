package scheduler

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/ejector"
)

// breaker decides when a worker is ejected. docs/policies.md has the comparison with the sliding window.
type breaker = ejector.Consecutive

// health is the health of one agent's worker.
type health = ejector.Worker[breaker, *breaker]

// Ejections returns the agents that were ejected since the last call, for the timeline.
func (e *Engine[P, T]) Ejections() []specifier.Identity {
	ejected := e.ejected
	e.ejected = nil
	return ejected
}

// judge notes how a task ended on an agent.
func (e *Engine[P, T]) judge(now time.Time, agent *agent, task *task, ok bool, runTime time.Duration) {
	profile := e.profiles[task.item.Profile]
	outcome := ejector.Outcome{Job: task.item.Key.Job, OK: ok, Sent: task.sent, RunTime: runTime,
		Expected: e.classifier.Mean(task.item.Profile, profile.TypicalTime), Threshold: profile.BreakerAfter}
	if task.slow {
		outcome.Expected = 0
	}
	if e.ejector.Record(now, &agent.health, outcome, len(agent.pool.agents)) {
		e.ejected = append(e.ejected, agent.member.Identity)
	}
}

// healthLimit returns how many tasks the agent may hold as far as its health goes.
func (a *agent) healthLimit(now time.Time, slots int) int {
	since := 0
	if failed := a.health.FailedAt(); !failed.IsZero() {
		for _, task := range a.held {
			if !task.sent.Before(failed) {
				since++
			}
		}
		if since == 0 {
			return len(a.held) + 1
		}
	}
	return a.health.Limit(now, slots, since)
}

// findSlow counts tasks that have run far beyond what their profile leads to expect, so that a straggler is found before
// it answers. The order of the tasks does not matter: each counts the same.
func (e *Engine[P, T]) findSlow(now time.Time, agent *agent) {
	for _, task := range agent.held {
		if !task.slow && now.Sub(task.sent) > queueTime+ejector.SlowRatio*task.expected && task.expected > 0 {
			task.slow = true
			agent.health.RecordSlow()
		}
	}
}
