package coordinator

import (
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
	c.Scheduler.RemoveJob(job.spec.ID)
	for _, agent := range job.holders() {
		c.out = append(c.out, Withdraw{Agent: agent, Job: job.spec.ID, Epoch: job.epoch})
	}
	collecting := job.phase == collecting
	job.phase = recording
	job.recordBy = now.Add(recordBound)
	c.wakeAt(job, job.recordBy)
	switch {
	case job.doubtful:
		job.answer = specifier.Fail(specifier.OwnerLost, "a former owner may have completed the job; the repeat failed: "+string(reason)+": "+detail, true)
	case job.touched() || collecting:
		job.answer = specifier.Fail(reason, detail, true)
	case reason == specifier.Cancelled:
		job.answer = specifier.Refuse(reason, detail)
	default:
		job.answer = specifier.Refuse(specifier.DeadlinePast, detail)
	}
	c.out = append(c.out, Propose{specifier.FinishJob{Job: job.spec.ID, Owner: job.owner, Epoch: job.epoch, Answer: job.answer}})
}

func (c *Coordinator) taskDone(now time.Time, e TaskDone) {
	c.Scheduler.TaskEnded(now, e.Agent, e.Key, !e.Broken, e.RunTime)
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
		c.Scheduler.TaskEnded(now, e.Agent, e.Key, true, 0)
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
	c.Scheduler.TaskRefused(now, e.Agent, e.Key)
}

// supersededCause is the cause with which an agent refuses an epoch below the one it knows.
const supersededCause = "Superseded"

// superseded gives up a job that another entry has taken over, and waits for its answer.
func (c *Coordinator) superseded(now time.Time, job *job) {
	c.Scheduler.RemoveJob(job.spec.ID)
	for i := range job.slots {
		job.slots[i].held = specifier.Identity{}
	}
	c.retry(now, job)
}
