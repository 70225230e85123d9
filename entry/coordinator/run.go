package coordinator

import (
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/orderer"
	"oleandertally/dispatch/scheduler"
)

// run queues every task that is neither done nor assigned to an agent.
func (c *Coordinator) run(now time.Time, job *job) {
	job.phase = running
	var items []scheduler.Item
	for i, task := range job.tasks {
		if !task.done && task.agent.IsZero() {
			items = append(items, c.item(job, i))
		}
	}
	c.Scheduler.Enqueue(now, items)
	c.completeIfDone(now, job)
}

func (c *Coordinator) item(job *job, i int) scheduler.Item {
	key := specifier.TaskKey{Job: job.spec.ID, Task: job.spec.Tasks[i].ID}
	return scheduler.Item{Key: key, Order: orderer.NewKey(job.arrival, len(job.tasks), job.profile.Priority, key),
		Service: job.profile.Service, Profile: job.profile.Name, Team: job.spec.Team, Deadline: job.spec.Deadline}
}

func (c *Coordinator) completeIfDone(now time.Time, job *job) {
	if job.phase != running || job.remaining > 0 {
		return
	}
	c.answerAll(now, job, job.completeAnswer())
	job.recorded = false
	job.keepUntil = now.Add(answerRetention)
	c.setTimer(job, job.keepUntil)
	// The answer need not wait for its record: the agents keep the same results, so an entry that
	// takes over the job gives the same answer.
	c.actions = append(c.actions, Propose{specifier.FinishJob{Job: job.spec.ID, Owner: job.owner, Epoch: job.epoch,
		Answer: specifier.Answer{Outcome: specifier.Complete}}})
}

// fail ends a job that this entry owns without results. The outcome is recorded before the callers are
// answered, so that a later submission gets the same outcome.
func (c *Coordinator) fail(now time.Time, job *job, reason specifier.Reason, detail string) {
	c.Scheduler.RemoveJob(job.spec.ID)
	for _, agent := range job.assignedAgents() {
		c.actions = append(c.actions, Withdraw{Agent: agent, Job: job.spec.ID, Epoch: job.epoch})
	}
	wasCollecting := job.phase == collecting
	job.phase = recording
	job.recordBy = now.Add(recordTimeout)
	c.setTimer(job, job.recordBy)
	switch {
	case job.maybeAnswered:
		job.answer = specifier.Fail(specifier.OwnerLost, "a former owner may have completed the job; the repeat failed: "+string(reason)+": "+detail, true)
	case job.mayHaveRun() || wasCollecting:
		job.answer = specifier.Fail(reason, detail, true)
	case reason == specifier.Cancelled:
		job.answer = specifier.Refuse(reason, detail)
	default:
		job.answer = specifier.Refuse(specifier.DeadlinePast, detail)
	}
	c.actions = append(c.actions, Propose{specifier.FinishJob{Job: job.spec.ID, Owner: job.owner, Epoch: job.epoch, Answer: job.answer}})
}

func (c *Coordinator) taskDone(now time.Time, e TaskDone) {
	c.Scheduler.TaskEnded(now, e.Agent, e.Key, !e.Broken, e.RunTime)
	job := c.jobs[e.Key.Job]
	if job == nil || (job.phase != running && job.phase != collecting) {
		return
	}
	i, ok := job.index[e.Key.Task]
	if !ok || job.tasks[i].done {
		return
	}
	c.recordEvent(recorder.TaskReturned, job, e.Key.Task, e.Agent.Name, e.Detail)
	if e.Broken {
		job.tasks[i].agent = e.Agent
		c.failTask(now, job, e.Key.Task, e.Agent, e.Detail)
		return
	}
	job.setResult(i, e.Body)
	c.completeIfDone(now, job)
}

func (c *Coordinator) failTask(now time.Time, job *job, task string, agent specifier.Identity, detail string) {
	if job.resultsOnly {
		return
	}
	c.fail(now, job, specifier.TaskFailed, "task "+task+" at "+agent.Name+": "+detail)
}

func (c *Coordinator) taskRefused(now time.Time, e TaskRefused) {
	job := c.jobs[e.Key.Job]
	if job == nil || e.Epoch > job.epoch || job.phase != running {
		c.Scheduler.TaskEnded(now, e.Agent, e.Key, true, 0)
		return
	}
	i, ok := job.index[e.Key.Task]
	if !ok || job.tasks[i].agent != e.Agent {
		return
	}
	c.recordEvent(recorder.TaskReturned, job, e.Key.Task, e.Agent.Name, "refused: "+e.Cause)
	job.tasks[i].agent = specifier.Identity{}
	if e.Cause == supersededCause {
		c.superseded(now, job)
		return
	}
	c.Scheduler.TaskRefused(now, e.Agent, e.Key)
}

// supersededCause is the cause that an agent gives when it refuses an epoch lower than one it has seen.
const supersededCause = "Superseded"

// superseded stops a job that another entry may have taken over, and proposes the job again to find its owner.
func (c *Coordinator) superseded(now time.Time, job *job) {
	c.Scheduler.RemoveJob(job.spec.ID)
	for i := range job.tasks {
		job.tasks[i].agent = specifier.Identity{}
	}
	c.retry(now, job)
}
