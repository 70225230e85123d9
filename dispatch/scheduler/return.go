package scheduler

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/retrier"
)

// TaskEnded notes that the agent ended a task, successfully or not.
func (e *Engine[P, T]) TaskEnded(now time.Time, id specifier.Identity, key specifier.TaskKey, ok bool, runTime time.Duration) {
	agent := e.agents[id]
	if agent == nil {
		return
	}
	task, found := e.release(agent, key)
	if !found {
		return
	}
	e.judge(now, agent, task, ok, runTime)
	if ok {
		e.classifier.Record(task.item.Profile, runTime)
	}
	e.recycle(task)
	agent.pool.short.observe(now, agent.pool.held-agent.pool.long)
	e.update(now, agent)
}

// TaskRefused notes that the agent did not start a task; it is queued again after a delay.
func (e *Engine[P, T]) TaskRefused(now time.Time, id specifier.Identity, key specifier.TaskKey) {
	agent := e.agents[id]
	if agent == nil {
		return
	}
	agent.refusedUntil = now.Add(refusalPause)
	if task, ok := e.release(agent, key); ok {
		e.requeue(now, task)
	}
	e.update(now, agent)
}

// requeue queues a task that is proved not started. One that could only come back past its deadline is dropped: the
// coordinator ends its job at the deadline.
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

// wake queues the delayed tasks whose time has come.
func (e *Engine[P, T]) wake(now time.Time) {
	for {
		next, ok := e.delayed.Peek()
		if !ok || next.at.After(now) {
			return
		}
		e.delayed.Pop()
		next.task.job.delayed--
		if !next.task.job.forgotten {
			e.push(now, next.task.job, next.task.item, next.task.attempts)
		}
		e.recycle(next.task)
	}
}

// release takes a task off an agent.
func (e *Engine[P, T]) release(agent *agent, key specifier.TaskKey) (*task, bool) {
	task, ok := agent.held[key]
	if !ok {
		return nil, false
	}
	delete(agent.held, key)
	agent.pool.held--
	agent.pool.limiter.AddAssigned(task.item.Team, -1)
	if task.lane == limited {
		agent.long--
		agent.pool.long--
		agent.zone.long--
	}
	task.job.ended(task)
	e.drop(key.Job, task.job)
	return task, true
}

// allocate returns a record for a task, one of those that were recycled if there is any.
func (e *Engine[P, T]) allocate() *task {
	last := len(e.spare) - 1
	if last < 0 {
		return &task{}
	}
	spare := e.spare[last]
	e.spare = e.spare[:last]
	return spare
}

func (e *Engine[P, T]) recycle(done *task) {
	*done = task{}
	e.spare = append(e.spare, done)
}
