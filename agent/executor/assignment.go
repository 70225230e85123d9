package executor

import (
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/orderer"
)

func (x *Executor) assigned(now time.Time, e Assigned) {
	if x.streams[e.Entry] != e.Stream {
		return
	}
	job := x.jobs[e.Key.Job]
	if job != nil {
		if e.Epoch < job.epoch {
			x.refuse(e, Superseded)
			return
		}
		if known := job.find(e.Key.Task); known != nil {
			x.assignedAgain(job, known, e)
			return
		}
	}
	if cause := x.refusalCause(now, e); cause != "" {
		x.refuse(e, cause)
		return
	}
	job = x.recordJob(e.Key.Job, e.Epoch, e.Entry, e.Deadline)
	task := &taskRecord{task: e.Key.Task, epoch: e.Epoch, state: specifier.TaskQueued,
		attempt: &attempt{payload: e.Payload, profile: e.Profile, deadline: e.Deadline, queued: now}}
	job.tasks = append(job.tasks, task)
	x.queue.Push(now, orderer.QueuedTask{Key: orderer.Key{At: e.Order, Job: e.Key.Job, Task: e.Key.Task}, Deadline: e.Deadline,
		Class: x.classifier.Class(e.Profile, x.profiles[e.Profile].TypicalTime), Profile: e.Profile})
	x.recordEvent(recorder.TaskQueued, e.Key.Job, task, e.Entry.Name, "")
}

// assignedAgain handles a task that the agent already has: the task is never started a second time.
func (x *Executor) assignedAgain(job *jobRecord, known *taskRecord, e Assigned) {
	job.owner, job.epoch, known.epoch = e.Entry, e.Epoch, e.Epoch
	if known.state == specifier.TaskEnded || known.state == specifier.TaskBroken {
		x.reportDone(e.Key.Job, job, known)
	}
}

// refusalCause returns why the agent can't take the task now, or "" if it can.
func (x *Executor) refusalCause(now time.Time, e Assigned) Cause {
	switch {
	case x.draining:
		return Drain
	case x.slots == 0:
		return NoUpstream
	case !x.leased(now):
		return NoLease
	case !e.Deadline.After(now):
		return Late
	case x.queue.Len() >= x.MaxQueue || x.resultBytes >= x.MaxResultBytes:
		return Full
	}
	return ""
}

func (x *Executor) withdrawn(e Withdrawn) {
	job := x.jobs[e.Job]
	if x.streams[e.Entry] != e.Stream || job == nil || e.Epoch < job.epoch {
		return
	}
	for _, queued := range x.queue.Remove(e.Job) {
		x.dropTask(queued.TaskKey(), Withdraw)
	}
}

// refuse rejects an assignment. The refusal is recorded in the time line unless the agent already has the task,
// which then may have started.
func (x *Executor) refuse(e Assigned, cause Cause) {
	if job := x.jobs[e.Key.Job]; job == nil || job.find(e.Key.Task) == nil {
		x.actions = append(x.actions, RecordEvent{recorder.Event{Kind: recorder.TaskRefused, Job: e.Key.Job, Task: e.Key.Task, Epoch: e.Epoch,
			Other: e.Entry.Name, Detail: string(cause)}})
	}
	x.actions = append(x.actions, Refused{Entry: e.Entry, Key: e.Key, Epoch: e.Epoch, Cause: cause, Load: x.Load()})
}
