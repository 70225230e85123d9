package coordinator

import (
	"time"

	"oleandertally/core/specifier"
)

func (c *Coordinator) configured(now time.Time, configuration specifier.Configuration) {
	if configuration.Revision < c.configuration.Revision {
		return // an older configuration never replaces a newer one
	}
	c.configuration = configuration
	c.Scheduler.SetTeams(now, configuration.Teams)
	for _, job := range c.sorted(func(j *job) bool { return j.phase == stale }) {
		c.reviewStale(now, job)
	}
}

func (c *Coordinator) reviewStale(now time.Time, job *job) {
	if c.configuration.Revision >= job.minRevision {
		c.propose(now, job)
	}
}
