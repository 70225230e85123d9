package coordinator

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

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
	for _, agent := range slices.SortedFunc(maps.Keys(c.agents), specifier.Identity.Compare) {
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
			c.Scheduler.TaskEnded(now, e.Agent, specifier.TaskKey{Job: e.Job, Task: report.Task}, true, 0)
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
			c.Scheduler.TaskRefused(now, e.Agent, specifier.TaskKey{Job: e.Job, Task: job.slots[i].result.Task})
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
	case job.unknown && c.missing(job) && (job.cancel || !job.profile.Repeatable):
		// The former owner may have had every result and answered.
		c.fail(now, job, specifier.OwnerLost, "the entry that ran the job was lost, and so was a worker that may have run a task")
	case job.cancel:
		c.fail(now, job, specifier.Cancelled, "the caller cancelled the job")
	default:
		job.doubtful = job.unknown
		c.run(now, job)
	}
}

// missing reports whether no agent knows of some task.
func (c *Coordinator) missing(job *job) bool {
	return slices.ContainsFunc(job.slots, func(s slot) bool { return !s.done && s.held.IsZero() })
}
