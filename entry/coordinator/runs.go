package coordinator

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/orderer"
	"oleandertally/dispatch/scheduler"
)

// run queues every task that is neither done nor held by an agent.
func (c *Coordinator) run(now time.Time, job *job) {
	job.phase = running
	var items []scheduler.Item
	for i, slot := range job.slots {
		if !slot.done && slot.held.IsZero() {
			items = append(items, c.item(job, i))
		}
	}
	c.Scheduler.Enqueue(now, items)
	c.completeIfDone(now, job)
}

func (c *Coordinator) item(job *job, i int) scheduler.Item {
	key := specifier.TaskKey{Job: job.spec.ID, Task: job.spec.Tasks[i].ID}
	return scheduler.Item{Key: key, Order: orderer.NewKey(job.arrival, len(job.slots), job.profile.Priority, key),
		Service: job.profile.Service, Profile: job.profile.Name, Team: job.spec.Team, Deadline: job.spec.Deadline}
}

func (c *Coordinator) completeIfDone(now time.Time, job *job) {
	if job.phase != running || job.left > 0 {
		return
	}
	c.give(now, job, job.complete())
	job.recorded = false
	job.keep = now.Add(answerRetention)
	c.wakeAt(job, job.keep)
	// The answer need not wait for its record: the agents hold the same results, so whoever
	// takes the job over gives the same answer.
	c.out = append(c.out, Propose{specifier.FinishJob{Job: job.spec.ID, Owner: job.owner, Epoch: job.epoch,
		Answer: specifier.Answer{Outcome: specifier.Complete}}})
}

// fail ends a job that this entry owns without its results. The outcome is recorded before it
// is answered, so that a later repeat gets the same one.
func (c *Coordinator) fail(now time.Time, job *job, reason specifier.Reason, detail string) {
	c.Scheduler.Forget(job.spec.ID)
	for _, agent := range job.holders() {
		c.out = append(c.out, Withdraw{Agent: agent, Job: job.spec.ID, Epoch: job.epoch})
	}
	collecting := job.phase == collecting
	job.phase = recording
	job.recordBy = now.Add(recordBound)
	c.wakeAt(job, job.recordBy)
	switch {
	case job.touched() || collecting:
		job.answer = specifier.Fail(reason, detail, true)
	case reason == specifier.Cancelled:
		job.answer = specifier.Refuse(reason, detail)
	default:
		job.answer = specifier.Refuse(specifier.DeadlinePast, detail)
	}
	c.out = append(c.out, Propose{specifier.FinishJob{Job: job.spec.ID, Owner: job.owner, Epoch: job.epoch, Answer: job.answer}})
}

func (c *Coordinator) finishDecided(now time.Time, command specifier.FinishJob, d specifier.Decision) {
	job := c.jobs[command.Job]
	if job == nil || job.epoch != command.Epoch {
		return
	}
	switch job.phase {
	case answered:
		c.settled(job)
	case recording:
		if d.Verdict != specifier.Finished {
			c.give(now, job, specifier.Fail(specifier.Superseded, "another entry took the job over", true))
			delete(c.jobs, command.Job)
			return
		}
		c.give(now, job, job.answer)
		c.settled(job)
		job.keep = now.Add(answerRetention)
		c.wakeAt(job, job.keep)
	}
}

func (c *Coordinator) taskDone(now time.Time, e TaskDone) {
	c.Scheduler.Done(now, e.Agent, e.Key, !e.Broken, e.RunTime)
	job := c.jobs[e.Key.Job]
	if job == nil || (job.phase != running && job.phase != collecting) {
		return
	}
	i, ok := job.index[e.Key.Task]
	if !ok || job.slots[i].done {
		return
	}
	c.note(recorder.TaskReturned, job, e.Key.Task, e.Agent.Name, e.Detail)
	if e.Broken {
		job.slots[i].held = e.Agent
		c.failTask(now, job, e.Key.Task, e.Agent, e.Detail)
		return
	}
	job.finish(i, e.Body)
	c.completeIfDone(now, job)
}

func (c *Coordinator) failTask(now time.Time, job *job, task string, agent specifier.Identity, detail string) {
	if job.fetched {
		return
	}
	c.fail(now, job, specifier.TaskFailed, "task "+task+" at "+agent.Name+": "+detail)
}

func (c *Coordinator) taskRefused(now time.Time, e TaskRefused) {
	job := c.jobs[e.Key.Job]
	if job == nil || e.Epoch > job.epoch || job.phase != running {
		c.Scheduler.Done(now, e.Agent, e.Key, true, 0)
		return
	}
	i, ok := job.index[e.Key.Task]
	if !ok || job.slots[i].held != e.Agent {
		return
	}
	c.note(recorder.TaskReturned, job, e.Key.Task, e.Agent.Name, "refused: "+e.Cause)
	job.slots[i].held = specifier.Identity{}
	if e.Cause == supersededCause {
		c.superseded(now, job)
		return
	}
	c.Scheduler.Refused(now, e.Agent, e.Key)
}

// supersededCause is the cause with which an agent refuses an epoch below the one it knows.
const supersededCause = "Superseded"

// superseded gives up a job that another entry has taken over, and waits for its answer.
func (c *Coordinator) superseded(now time.Time, job *job) {
	c.Scheduler.Forget(job.spec.ID)
	for i := range job.slots {
		job.slots[i].held = specifier.Identity{}
	}
	c.retry(now, job)
}

// collect asks every agent for its record of the job, once the membership of the decision is known.
func (c *Coordinator) collect(now time.Time, job *job, d specifier.Decision) {
	job.phase = collecting
	job.members = d.MemberVersion
	c.askAgents(now, job)
}

func (c *Coordinator) askAgents(now time.Time, job *job) {
	if c.memberVersion < job.members {
		return
	}
	if c.memberVersion > job.members {
		// An agent may have left since the decision without ever being listed here: the decision is
		// asked for again, with those that departed up to now.
		c.retry(now, job)
		return
	}
	job.asked = make(map[specifier.Identity]bool)
	for _, agent := range slices.SortedFunc(maps.Keys(c.agents), compareIdentity) {
		job.asked[agent] = true
		if c.linked[agent] {
			c.fence(job, agent)
		}
	}
	c.finishCollecting(now, job)
}

func (c *Coordinator) fence(job *job, agent specifier.Identity) {
	c.mark++
	c.out = append(c.out, Fence{Agent: agent, Job: job.spec.ID, Epoch: job.epoch, Deadline: job.spec.Deadline, Mark: c.mark})
}

func (c *Coordinator) reported(now time.Time, e Reported) {
	job := c.jobs[e.Job]
	if job == nil || (job.phase != running && job.phase != collecting) {
		return
	}
	if e.Epoch > job.epoch && !job.fetched {
		c.superseded(now, job)
		return
	}
	if !c.merge(now, job, e) {
		return
	}
	if job.phase == collecting && job.asked != nil {
		delete(job.asked, e.Agent)
		c.finishCollecting(now, job)
		return
	}
	c.completeIfDone(now, job)
}

// merge takes over an agent's record. It returns false when the job failed by it.
func (c *Coordinator) merge(now time.Time, job *job, e Reported) bool {
	listed := make(map[string]bool, len(e.Tasks))
	for _, report := range e.Tasks {
		listed[report.Task] = true
		i, ok := job.index[report.Task]
		if !ok {
			continue
		}
		switch report.State {
		case specifier.TaskEnded:
			c.Scheduler.Done(now, e.Agent, specifier.TaskKey{Job: e.Job, Task: report.Task}, true, 0)
			job.finish(i, report.Body)
		case specifier.TaskBroken:
			job.slots[i].held = e.Agent
			c.failTask(now, job, report.Task, e.Agent, report.Detail)
			return job.fetched
		default:
			job.slots[i].held = e.Agent
		}
	}
	for i := range job.slots {
		// What this entry sent before it asked and the agent does not list never arrived there. What
		// was sent after the question may be on its way: taking it for lost would start it twice.
		if job.slots[i].held == e.Agent && job.slots[i].mark < e.Mark && !listed[job.slots[i].result.Task] {
			job.slots[i].held = specifier.Identity{}
			c.Scheduler.Refused(now, e.Agent, specifier.TaskKey{Job: e.Job, Task: job.slots[i].result.Task})
		}
	}
	return true
}

// finishCollecting goes on once every agent has reported or is gone.
func (c *Coordinator) finishCollecting(now time.Time, job *job) {
	switch {
	case job.phase != collecting || len(job.asked) > 0:
	case job.fetched && job.left == 0:
		c.give(now, job, job.complete())
		delete(c.jobs, job.spec.ID)
	case job.fetched:
		c.give(now, job, specifier.Fail(specifier.ResultsLost, "the job completed, but its results are no longer held", true))
		delete(c.jobs, job.spec.ID)
	case job.left == 0:
		c.run(now, job)
	case job.unknown && !job.profile.Repeatable && c.missing(job):
		c.fail(now, job, specifier.OwnerLost, "the entry that ran the job was lost, and so was a worker that may have run a task")
	case job.cancel:
		c.fail(now, job, specifier.Cancelled, "the caller cancelled the job")
	default:
		c.run(now, job)
	}
}

// missing reports whether no agent knows of some task.
func (c *Coordinator) missing(job *job) bool {
	return slices.ContainsFunc(job.slots, func(s slot) bool { return !s.done && s.held.IsZero() })
}

func (c *Coordinator) agentLinked(now time.Time, agent specifier.Identity) {
	c.linked[agent] = true
	c.Scheduler.SetLinked(now, agent, true)
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
	for _, agent := range slices.SortedFunc(maps.Keys(gone), compareIdentity) {
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
	for _, agent := range slices.SortedFunc(maps.Keys(gone), compareIdentity) {
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
	if job.phase == running {
		c.Scheduler.Enqueue(now, items)
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
