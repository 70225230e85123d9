package executor

import (
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

func (x *Executor) runEnded(now time.Time, e RunEnded) {
	x.queue.Done(now, e.Key)
	job := x.jobs[e.Key.Job]
	if job == nil {
		return
	}
	task := job.find(e.Key.Task)
	if task == nil || task.state != specifier.TaskRunning {
		return
	}
	if e.NotStarted {
		job.remove(e.Key.Task)
		x.actions = append(x.actions, Refused{Entry: job.owner, Key: e.Key, Epoch: job.epoch, Cause: NoUpstream, Load: x.Load()})
		x.recordEvent(recorder.TaskRefused, e.Key.Job, task, job.owner.Name, string(NoUpstream))
		x.upstreamDown()
		return
	}
	task.state = specifier.TaskEnded
	if e.Broken {
		task.state = specifier.TaskBroken
	}
	task.body, task.detail, task.runTime = e.Body, e.Detail, now.Sub(task.attempt.started)
	x.resultBytes += len(e.Body)
	if !e.Broken {
		x.classifier.Record(task.attempt.profile, task.runTime)
	}
	task.attempt = nil
	x.recordEvent(recorder.TaskEnded, e.Key.Job, task, job.owner.Name, e.Detail)
	x.loadReporter.TaskEnded()
	x.start(now) // before reportDone, so that the load in the result includes the task that fills the free slot
	x.reportDone(e.Key.Job, job, task)
}

// start runs queued tasks in the free slots.
func (x *Executor) start(now time.Time) {
	if !x.leased(now) || x.slots == 0 {
		return
	}
	x.queue.SetSlots(x.slots)
	for _, late := range x.queue.Expire(now) {
		x.dropTask(late.TaskKey(), Late)
	}
	for _, queued := range x.queue.Start(now) {
		job := x.jobs[queued.Key.Job]
		task := job.find(queued.Key.Task)
		task.state, task.attempt.started, task.waitTime = specifier.TaskRunning, now, now.Sub(task.attempt.queued)
		x.recordEvent(recorder.TaskStarted, queued.Key.Job, task, job.owner.Name, "")
		x.actions = append(x.actions, Run{Addr: x.upstream, Key: queued.TaskKey(), Epoch: task.epoch, Payload: task.attempt.payload, Deadline: task.attempt.deadline})
		task.attempt.payload = nil
	}
}

func (x *Executor) reportDone(id specifier.JobID, job *jobRecord, task *taskRecord) {
	x.actions = append(x.actions, Done{Entry: job.owner, Key: specifier.TaskKey{Job: id, Task: task.task}, Epoch: job.epoch, Broken: task.state == specifier.TaskBroken,
		Body: task.body, Detail: task.detail, RunTime: task.runTime, Waited: task.waitTime, Load: x.Load()})
}

// reportLoad sends the load to the entries whose view of it is outdated.
func (x *Executor) reportLoad(now time.Time) {
	load := x.Load()
	for _, entry := range x.loadReporter.Due(now, load) {
		x.actions = append(x.actions, SendLoad{Entry: entry, Load: load})
	}
}

// longShare returns the smallest LongShare of the profiles, or 0 if none sets one. All profiles of the upstream share
// its slots.
func longShare(profiles map[string]specifier.Profile) float64 {
	share := 0.0
	for _, profile := range profiles {
		if profile.LongShare > 0 && (share == 0 || profile.LongShare < share) {
			share = profile.LongShare
		}
	}
	return share
}
