package executor

import (
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/orderer"
)

func (x *Executor) assigned(now time.Time, e Assigned) {
	if x.links[e.Entry] != e.Link {
		return
	}
	job := x.jobs[e.Key.Job]
	if job != nil {
		if e.Epoch < job.epoch {
			x.refuse(e, Superseded)
			return
		}
		if known := job.find(e.Key.Task); known != nil {
			x.repeated(job, known, e)
			return
		}
	}
	if cause := x.unfit(now, e); cause != "" {
		x.refuse(e, cause)
		return
	}
	job = x.hold(e.Key.Job, e.Epoch, e.Entry, e.Deadline)
	task := &record{task: e.Key.Task, epoch: e.Epoch, state: specifier.TaskQueued,
		attempt: &attempt{payload: e.Payload, profile: e.Profile, deadline: e.Deadline, queued: now}}
	job.tasks = append(job.tasks, task)
	x.queue.Push(now, orderer.QueuedTask{Key: orderer.Key{At: e.Order, Job: e.Key.Job, Task: e.Key.Task}, Deadline: e.Deadline,
		Class: x.learned.Class(e.Profile, x.profiles[e.Profile].TypicalTime), Profile: e.Profile})
	x.note(recorder.TaskQueued, e.Key.Job, task, e.Entry.Name, "")
}

// repeated handles a task that is held already: it is never started again.
func (x *Executor) repeated(job *holding, known *record, e Assigned) {
	job.owner, job.epoch, known.epoch = e.Entry, e.Epoch, e.Epoch
	if known.state == specifier.TaskEnded || known.state == specifier.TaskBroken {
		x.tell(e.Key.Job, job, known)
	}
}

// unfit returns why the agent can't take the task now, or nothing.
func (x *Executor) unfit(now time.Time, e Assigned) Cause {
	switch {
	case x.draining:
		return Drain
	case x.slots == 0:
		return NoUpstream
	case !x.leased(now):
		return NoLease
	case !e.Deadline.After(now):
		return Late
	case x.queue.Len() >= x.QueueBound || x.held >= x.HeldBytes:
		return Full
	}
	return ""
}

func (x *Executor) withdrawn(e Withdrawn) {
	job := x.jobs[e.Job]
	if x.links[e.Entry] != e.Link || job == nil || e.Epoch < job.epoch {
		return
	}
	for _, entry := range x.queue.Remove(e.Job) {
		x.dropTask(entry.TaskKey(), Withdraw)
	}
}

// refuse answers an assignment that is not taken. It is recorded unless the agent holds the task, which it
// then may have started.
func (x *Executor) refuse(e Assigned, cause Cause) {
	if job := x.jobs[e.Key.Job]; job == nil || job.find(e.Key.Task) == nil {
		x.out = append(x.out, Note{recorder.Event{Kind: recorder.TaskRefused, Job: e.Key.Job, Task: e.Key.Task, Epoch: e.Epoch,
			Other: e.Entry.Name, Detail: string(cause)}})
	}
	x.out = append(x.out, Refused{Entry: e.Entry, Key: e.Key, Epoch: e.Epoch, Cause: cause, Load: x.Load()})
}
