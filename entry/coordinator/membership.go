package coordinator

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/scheduler"
)

func (c *Coordinator) agentConnected(now time.Time, agent specifier.Identity) {
	c.connected[agent] = true
	c.Scheduler.SetConnected(now, agent, true)
	for _, job := range c.sorted(func(j *job) bool { return j.phase == running || j.phase == collecting }) {
		if job.awaitedReports[agent] || slices.Contains(job.assignedAgents(), agent) {
			c.fence(job, agent)
		}
	}
}

func (c *Coordinator) membersChanged(now time.Time, e MembersChanged) {
	if e.Version < c.memberVersion {
		return
	}
	c.memberVersion = e.Version
	if c.expelled(e.Members) {
		c.relinquishJobs(now)
	}
	departed := maps.Clone(c.agents)
	clear(c.agents)
	for _, member := range e.Members {
		if member.Role == specifier.Agent && member.State != specifier.Down {
			c.agents[member.Identity] = member
			delete(departed, member.Identity)
		}
	}
	c.Scheduler.SetMembers(now, e.Members)
	for _, agent := range slices.SortedFunc(maps.Keys(departed), specifier.Identity.Compare) {
		delete(c.connected, agent)
		delete(c.leaving, agent)
		c.recordMemberDown(agent)
	}
	for _, job := range c.sorted(func(j *job) bool { return j.phase == running || j.phase == collecting }) {
		c.agentsDeparted(now, job, departed)
	}
}

// expelled reports whether this entry's own incarnation is recorded as Down or replaced.
func (c *Coordinator) expelled(members []specifier.Member) bool {
	return slices.ContainsFunc(members, func(m specifier.Member) bool {
		return m.Name == c.self.Name && (m.Identity != c.self || m.State == specifier.Down)
	})
}

// relinquishJobs stops the jobs that run under an identity that is recorded as Down, and asks the controllers who owns
// them. Another entry may have taken a job over and fenced the agents of that time, but not an agent that joined
// later: a task sent to that agent would start twice.
func (c *Coordinator) relinquishJobs(now time.Time) {
	for _, job := range c.sorted(func(j *job) bool { return j.phase == running || (j.phase == collecting && !j.resultsOnly) }) {
		c.superseded(now, job)
	}
}

func (c *Coordinator) recordMemberDown(agent specifier.Identity) {
	c.actions = append(c.actions, RecordEvent{recorder.Event{Kind: recorder.MemberDown, Other: agent.String()}})
}

// agentsDeparted handles the loss of agents that are recorded as Down.
func (c *Coordinator) agentsDeparted(now time.Time, job *job, departed map[specifier.Identity]specifier.Member) {
	if job.phase == collecting && job.awaitedReports == nil {
		c.requestReports(now, job)
		return
	}
	for _, agent := range slices.SortedFunc(maps.Keys(departed), specifier.Identity.Compare) {
		if job.awaitedReports[agent] {
			delete(job.awaitedReports, agent)
			job.recordMissing = true
		}
		c.handleLostTasks(now, job, agent)
	}
	c.finishCollecting(now, job)
}

// handleLostTasks handles the tasks that were assigned to a lost agent. They run again only if the profile is
// Repeatable, since it is unknown whether they started.
func (c *Coordinator) handleLostTasks(now time.Time, job *job, agent specifier.Identity) {
	if job.phase != running && job.phase != collecting {
		return
	}
	var items []scheduler.Item
	for i := range job.tasks {
		if job.tasks[i].agent == agent {
			items = append(items, c.item(job, i))
		}
	}
	if len(items) == 0 {
		return
	}
	if !job.profile.Repeatable {
		c.fail(now, job, specifier.WorkerLost, "worker "+agent.Name+" was lost with a task that may have run")
		return
	}
	for i := range job.tasks {
		if job.tasks[i].agent == agent {
			job.tasks[i].agent = specifier.Identity{}
		}
	}
	job.recordMissing = true
	if job.phase == running && !c.Scheduler.RetryLost(now, items) {
		c.fail(now, job, specifier.WorkerLost, "worker "+agent.Name+" was lost, and the retry budget of the profile is spent")
	}
}

// sorted returns the jobs that match, sorted by ID so that the order of actions is deterministic.
func (c *Coordinator) sorted(matches func(*job) bool) []*job {
	var jobs []*job
	for _, job := range c.jobs {
		if matches(job) {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return slices.Compare(a.spec.ID[:], b.spec.ID[:]) })
	return jobs
}
