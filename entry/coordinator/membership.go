package coordinator

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/scheduler"
)

func (c *Coordinator) agentLinked(now time.Time, agent specifier.Identity) {
	c.linked[agent] = true
	c.Scheduler.SetConnected(now, agent, true)
	for _, job := range c.sorted(func(j *job) bool { return j.phase == running || j.phase == collecting }) {
		if job.asked[agent] || slices.Contains(job.holders(), agent) {
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
		c.disown(now)
	}
	gone := maps.Clone(c.agents)
	clear(c.agents)
	for _, member := range e.Members {
		if member.Role == specifier.Agent && member.State != specifier.Down {
			c.agents[member.Identity] = member
			delete(gone, member.Identity)
		}
	}
	c.Scheduler.SetMembers(now, e.Members)
	for _, agent := range slices.SortedFunc(maps.Keys(gone), specifier.Identity.Compare) {
		delete(c.linked, agent)
		delete(c.leaving, agent)
		c.noteDown(agent)
	}
	for _, job := range c.sorted(func(j *job) bool { return j.phase == running || j.phase == collecting }) {
		c.agentsGone(now, job, gone)
	}
}

// expelled reports whether this entry's own incarnation is recorded as Down or replaced.
func (c *Coordinator) expelled(members []specifier.Member) bool {
	return slices.ContainsFunc(members, func(m specifier.Member) bool {
		return m.Name == c.self.Name && (m.Identity != c.self || m.State == specifier.Down)
	})
}

// disown stops every job that runs under an identity that is recorded as Down, until the record tells who
// owns it. Another entry may have taken it over and fenced the agents of that time, but not one that joined
// since: a task sent there would start twice.
func (c *Coordinator) disown(now time.Time) {
	for _, job := range c.sorted(func(j *job) bool { return j.phase == running || (j.phase == collecting && !j.fetched) }) {
		c.superseded(now, job)
	}
}

func (c *Coordinator) noteDown(agent specifier.Identity) {
	c.out = append(c.out, Note{recorder.Event{Kind: recorder.MemberDown, Other: agent.String()}})
}

// agentsGone handles the loss of agents that are recorded as Down.
func (c *Coordinator) agentsGone(now time.Time, job *job, gone map[specifier.Identity]specifier.Member) {
	if job.phase == collecting && job.asked == nil {
		c.askAgents(now, job)
		return
	}
	for _, agent := range slices.SortedFunc(maps.Keys(gone), specifier.Identity.Compare) {
		if job.asked[agent] {
			delete(job.asked, agent)
			job.unknown = true
		}
		c.lose(now, job, agent)
	}
	c.finishCollecting(now, job)
}

// lose handles the tasks that a lost agent held: they run again only under a profile that
// says so, since whether they started is not known.
func (c *Coordinator) lose(now time.Time, job *job, agent specifier.Identity) {
	if job.phase != running && job.phase != collecting {
		return
	}
	var items []scheduler.Item
	for i := range job.slots {
		if job.slots[i].held == agent {
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
	for i := range job.slots {
		if job.slots[i].held == agent {
			job.slots[i].held = specifier.Identity{}
		}
	}
	job.unknown = true
	if job.phase == running && !c.Scheduler.RetryLost(now, items) {
		c.fail(now, job, specifier.WorkerLost, "worker "+agent.Name+" was lost, and the retry budget of the profile is spent")
	}
}

// sorted returns the jobs for which want holds, by id, so that actions come in one order.
func (c *Coordinator) sorted(want func(*job) bool) []*job {
	var jobs []*job
	for _, job := range c.jobs {
		if want(job) {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return slices.Compare(a.spec.ID[:], b.spec.ID[:]) })
	return jobs
}
