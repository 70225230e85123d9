package scheduler

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/retrier"
)

// TaskEnded records that a task ended on the agent, successfully or not.
func (e *Engine[P, T]) TaskEnded(now time.Time, id specifier.Identity, key specifier.TaskKey, ok bool, runTime time.Duration) {
	agent := e.agents[id]
	if agent == nil {
		return
	}
	task, found := e.unassign(agent, key)
	if !found {
		return
	}
	e.recordOutcome(now, agent, task, ok, runTime)
	if ok {
		e.classifier.Record(task.item.Profile, runTime)
	}
	e.recycle(task)
	agent.pool.shortNeed.observe(now, agent.pool.assigned-agent.pool.longAssigned)
	e.updateIndex(now, agent)
}

// TaskRefused records that the agent did not start a task, and queues the task again after a delay.
func (e *Engine[P, T]) TaskRefused(now time.Time, id specifier.Identity, key specifier.TaskKey) {
	agent := e.agents[id]
	if agent == nil {
		return
	}
	agent.refusedUntil = now.Add(refusalDelay)
	if task, ok := e.unassign(agent, key); ok {
		e.requeue(now, task)
	}
	e.updateIndex(now, agent)
}

// requeue queues a task that was provably not started, after a delay. A task whose retry would come after its deadline
// is dropped, and the coordinator ends the job at the deadline.
func (e *Engine[P, T]) requeue(now time.Time, task *task) {
	attempt := retrier.Attempt{Profile: task.item.Profile, Cause: retrier.NotStarted, Count: task.attempts, Deadline: task.item.Deadline}
	at, ok := e.retrier.Plan(now, attempt)
	if !ok {
		e.recycle(task)
		return
	}
	job := e.job(task.item.Key.Job, e.pool(task.item.Service))
	job.team = task.item.Team
	job.delayed++
	task.job = job
	e.delayed.Push(delayed{at: at, task: task})
}

// pushDelayed queues the delayed tasks that are due.
func (e *Engine[P, T]) pushDelayed(now time.Time) {
	for {
		next, ok := e.delayed.Peek()
		if !ok || next.at.After(now) {
			return
		}
		e.delayed.Pop()
		next.task.job.delayed--
		if !next.task.job.abandoned {
			e.push(now, next.task.job, next.task.item, next.task.attempts)
		}
		e.recycle(next.task)
	}
}

// unassign removes a task from its agent and updates the counts.
func (e *Engine[P, T]) unassign(agent *agent, key specifier.TaskKey) (*task, bool) {
	task, ok := agent.assigned[key]
	if !ok {
		return nil, false
	}
	delete(agent.assigned, key)
	agent.pool.assigned--
	agent.pool.limiter.AddAssigned(task.item.Team, -1)
	if task.lane == longLane {
		agent.longAssigned--
		agent.pool.longAssigned--
		agent.zone.longAssigned--
	}
	task.job.removeSent(task)
	e.removeIfEmpty(key.Job, task.job)
	return task, true
}

// allocate returns an empty task, recycled if possible.
func (e *Engine[P, T]) allocate() *task {
	last := len(e.spareTasks) - 1
	if last < 0 {
		return &task{}
	}
	spare := e.spareTasks[last]
	e.spareTasks = e.spareTasks[:last]
	return spare
}

func (e *Engine[P, T]) recycle(done *task) {
	*done = task{}
	e.spareTasks = append(e.spareTasks, done)
}
