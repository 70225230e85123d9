package coordinator

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// collectReports asks every agent for its record of the job, once this entry knows the membership of the decision.
func (c *Coordinator) collectReports(now time.Time, job *job, d specifier.Decision) {
	job.phase = collecting
	job.memberVersion = d.MemberVersion
	c.requestReports(now, job)
}

func (c *Coordinator) requestReports(now time.Time, job *job) {
	if c.memberVersion < job.memberVersion {
		return
	}
	if c.memberVersion > job.memberVersion {
		// An agent may have departed after the decision without this entry ever listing it. A new decision
		// names all agents that have departed up to now.
		c.retry(now, job)
		return
	}
	job.awaitedReports = make(map[specifier.Identity]bool)
	for _, agent := range slices.SortedFunc(maps.Keys(c.agents), specifier.Identity.Compare) {
		job.awaitedReports[agent] = true
		if c.connected[agent] {
			c.fence(job, agent)
		}
	}
	c.finishCollecting(now, job)
}

func (c *Coordinator) fence(job *job, agent specifier.Identity) {
	c.lastMark++
	c.actions = append(c.actions, Fence{Agent: agent, Job: job.spec.ID, Epoch: job.epoch, Deadline: job.spec.Deadline, Mark: c.lastMark})
}

func (c *Coordinator) reportReceived(now time.Time, e ReportReceived) {
	job := c.jobs[e.Job]
	if job == nil || (job.phase != running && job.phase != collecting) {
		return
	}
	if e.Epoch > job.epoch && !job.resultsOnly {
		c.superseded(now, job)
		return
	}
	if !c.mergeReport(now, job, e) {
		return
	}
	if job.phase == collecting && job.awaitedReports != nil {
		delete(job.awaitedReports, e.Agent)
		c.finishCollecting(now, job)
		return
	}
	c.completeIfDone(now, job)
}

// mergeReport applies an agent's record to the job. It returns false if the record made the job fail.
func (c *Coordinator) mergeReport(now time.Time, job *job, e ReportReceived) bool {
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
			job.setResult(i, report.Body)
		case specifier.TaskBroken:
			job.tasks[i].agent = e.Agent
			c.failTask(now, job, report.Task, e.Agent, report.Detail)
			return job.resultsOnly
		default:
			job.tasks[i].agent = e.Agent
		}
	}
	for i := range job.tasks {
		// A task that was sent before the fence and that the agent does not list never arrived. A task that
		// was sent after the fence may be in transit: treating it as lost would start it twice.
		if job.tasks[i].agent == e.Agent && job.tasks[i].mark < e.Mark && !listed[job.tasks[i].result.Task] {
			job.tasks[i].agent = specifier.Identity{}
			c.Scheduler.TaskRefused(now, e.Agent, specifier.TaskKey{Job: e.Job, Task: job.tasks[i].result.Task})
		}
	}
	return true
}

// finishCollecting continues the job once every agent has reported or departed.
func (c *Coordinator) finishCollecting(now time.Time, job *job) {
	switch {
	case job.phase != collecting || len(job.awaitedReports) > 0:
	case job.resultsOnly && job.remaining == 0:
		c.answerAll(now, job, job.completeAnswer())
		delete(c.jobs, job.spec.ID)
	case job.resultsOnly:
		c.answerAll(now, job, specifier.Fail(specifier.ResultsLost, "the job completed, but its results are no longer held", true))
		delete(c.jobs, job.spec.ID)
	case job.remaining == 0:
		c.run(now, job)
	case job.recordMissing && c.hasUnknownTask(job) && (job.cancelled || !job.profile.Repeatable):
		// The former owner may have had every result and answered.
		c.fail(now, job, specifier.OwnerLost, "the entry that ran the job was lost, and so was a worker that may have run a task")
	case job.cancelled:
		c.fail(now, job, specifier.Cancelled, "the caller cancelled the job")
	default:
		job.maybeAnswered = job.recordMissing
		c.run(now, job)
	}
}

// hasUnknownTask reports whether some task is neither done nor known to any agent.
func (c *Coordinator) hasUnknownTask(job *job) bool {
	return slices.ContainsFunc(job.tasks, func(t jobTask) bool { return !t.done && t.agent.IsZero() })
}
