package coordinator

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// drain makes the entry refuse new jobs for good.
func (c *Coordinator) drain() {
	if !c.draining {
		c.out = append(c.out, Note{recorder.Event{Kind: recorder.MemberDraining}})
	}
	c.draining, c.drainAsked = true, true
}

// reportDrained answers Draining once nothing is in flight.
func (c *Coordinator) reportDrained() {
	if c.drainAsked && c.Idle() {
		c.drainAsked = false
		c.out = append(c.out, Drained{})
	}
}

// agentLeaving sends the agent nothing more. What was sent before is refused by the agent, or reported
// after a new stream, before the agent is released.
func (c *Coordinator) agentLeaving(now time.Time, agent specifier.Identity) {
	c.Scheduler.SetConnected(now, agent, false)
	c.leaving[agent] = true
}

// release lets the agents leave of which no job waits for a task or a report.
func (c *Coordinator) release() {
	for _, agent := range slices.SortedFunc(maps.Keys(c.leaving), specifier.Identity.Compare) {
		if c.linked[agent] && !c.countsOn(agent) {
			delete(c.leaving, agent)
			c.out = append(c.out, Released{Agent: agent})
		}
	}
}

func (c *Coordinator) countsOn(agent specifier.Identity) bool {
	for _, job := range c.jobs {
		if (job.phase == running || job.phase == collecting) &&
			(job.asked[agent] || slices.ContainsFunc(job.slots, func(s slot) bool { return s.held == agent })) {
			return true
		}
	}
	return false
}
