package scheduler

import (
	"time"

	"oleandertally/core/specifier"
)

// Admit decides whether a job can finish by its deadline; nil admits it.
func (e *Engine[P, T]) Admit(now time.Time, job specifier.Job, profile specifier.Profile) *Refusal {
	e.init()
	e.profiles[profile.Name] = profile
	if pool := e.pools[profile.Service]; pool != nil {
		for _, agent := range pool.agents {
			if agent.member.Slots > 0 {
				return nil
			}
		}
	}
	return &Refusal{Reason: specifier.NoWorker, Detail: "no worker serves " + profile.Service, RetryAfter: time.Second}
}
