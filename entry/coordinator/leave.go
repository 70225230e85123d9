package coordinator

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// drain makes the entry refuse new jobs permanently.
func (c *Coordinator) drain() {
	if !c.draining {
		c.actions = append(c.actions, RecordEvent{recorder.Event{Kind: recorder.MemberDraining}})
	}
	c.draining, c.drainedPending = true, true
}

// reportDrained answers DrainRequested once no job is in flight.
func (c *Coordinator) reportDrained() {
	if c.drainedPending && c.Idle() {
		c.drainedPending = false
		c.actions = append(c.actions, Drained{})
	}
}

// agentLeaving stops sending tasks to the agent. The agent refuses tasks that were sent before, or reports them on a
// new stream, before it is released.
func (c *Coordinator) agentLeaving(now time.Time, agent specifier.Identity) {
	c.Scheduler.SetConnected(now, agent, false)
	c.leaving[agent] = true
}

// releaseAgents releases the leaving agents from which no job awaits a task or a report.
func (c *Coordinator) releaseAgents() {
	for _, agent := range slices.SortedFunc(maps.Keys(c.leaving), specifier.Identity.Compare) {
		if c.connected[agent] && !c.dependsOn(agent) {
			delete(c.leaving, agent)
			c.actions = append(c.actions, ReleaseAgent{Agent: agent})
		}
	}
}

func (c *Coordinator) dependsOn(agent specifier.Identity) bool {
	for _, job := range c.jobs {
		if (job.phase == running || job.phase == collecting) &&
			(job.awaitedReports[agent] || slices.ContainsFunc(job.tasks, func(t jobTask) bool { return t.agent == agent })) {
			return true
		}
	}
	return false
}
