package executor

import (
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

func (x *Executor) fenced(now time.Time, e Fenced) {
	if x.streams[e.Entry] != e.Stream {
		return
	}
	job := x.jobs[e.Job]
	if job == nil || e.Epoch > job.epoch {
		x.dropQueued(e.Job)
		job = x.recordJob(e.Job, e.Epoch, e.Entry, e.Deadline)
		x.actions = append(x.actions, RecordEvent{recorder.Event{Kind: recorder.JobFenced, Job: e.Job, Epoch: e.Epoch, Other: e.Entry.Name}})
	}
	x.actions = append(x.actions, Report{Entry: e.Entry, Job: e.Job, Epoch: job.epoch, Tasks: job.reports(), Mark: e.Mark, Load: x.Load()})
}

// recordJob returns the record of a job, created if necessary, with the given epoch and owner. The record is kept until
// KeyRetention after the deadline.
func (x *Executor) recordJob(id specifier.JobID, epoch specifier.Epoch, owner specifier.Identity, deadline time.Time) *jobRecord {
	job := x.jobs[id]
	if job == nil {
		job = &jobRecord{}
		x.jobs[id] = job
	}
	job.owner, job.epoch = owner, epoch
	if keepUntil := deadline.Add(specifier.KeyRetention); keepUntil.After(job.keepUntil) {
		job.keepUntil = keepUntil
		x.expiries.Push(expiry{at: keepUntil, job: id})
	}
	return job
}

// dropQueued removes the queued tasks of a job whose owner has been replaced, without a refusal to the former owner.
func (x *Executor) dropQueued(id specifier.JobID) {
	for _, queued := range x.queue.Remove(id) {
		x.jobs[id].remove(queued.Key.Task)
	}
}
