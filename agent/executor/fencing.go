package executor

import (
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

func (x *Executor) fenced(now time.Time, e Fenced) {
	if x.links[e.Entry] != e.Stream {
		return
	}
	job := x.jobs[e.Job]
	if job == nil || e.Epoch > job.epoch {
		x.dropSilently(e.Job)
		job = x.hold(e.Job, e.Epoch, e.Entry, e.Deadline)
		x.out = append(x.out, RecordEvent{recorder.Event{Kind: recorder.JobFenced, Job: e.Job, Epoch: e.Epoch, Other: e.Entry.Name}})
	}
	x.out = append(x.out, Report{Entry: e.Entry, Job: e.Job, Epoch: job.epoch, Tasks: job.reports(), Mark: e.Mark, Load: x.Load()})
}

// hold returns the record of a job, raised to epoch and kept until after deadline.
func (x *Executor) hold(id specifier.JobID, epoch specifier.Epoch, owner specifier.Identity, deadline time.Time) *holding {
	job := x.jobs[id]
	if job == nil {
		job = &holding{}
		x.jobs[id] = job
	}
	job.owner, job.epoch = owner, epoch
	if keep := deadline.Add(specifier.KeyRetention); keep.After(job.keep) {
		job.keep = keep
		x.expiring.Push(expiry{at: keep, job: id})
	}
	return job
}

// dropSilently drops what has not started of a job whose owner has been replaced.
func (x *Executor) dropSilently(id specifier.JobID) {
	for _, entry := range x.queue.Remove(id) {
		x.jobs[id].remove(entry.Key.Task)
	}
}
