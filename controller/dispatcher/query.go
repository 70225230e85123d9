package dispatcher

import (
	"path"
	"time"

	"oleandertally/core/specifier"
)

// queryTimeout is how long a query for the state of a job waits while the job may end at any moment. Callers send the query when their
// job should have ended, and would otherwise learn of the end one poll later. Recording an end takes less time.
const queryTimeout = 40 * time.Millisecond

// denyJob replies that the queue that the path selects has no such job. The log tells a path that names a job of another queue from one
// that names no job.
func (d *Dispatcher) denyJob(from waiter, call specifier.QueueCall, queue specifier.Queue) {
	id := path.Base(call.Path)
	if record := d.Recorder.Job(id); record != nil {
		d.emit(LogEvent{Event: "JobDenied", Job: id, Queue: queue.Name, Detail: "a job of this ID is recorded for the queue " + record.Job.Queue})
	}
	d.reply(from, specifier.QueueReply{Result: specifier.JobNotFound, Detail: "no such job"})
}

// query replies with the state of a job, or for a path that is a queue's prefix with the number of the queue's jobs that have not started.
func (d *Dispatcher) query(from waiter, call specifier.QueueCall, t target) {
	switch {
	case t.id == "":
		d.countPending(from, t.queue)
	case t.record == nil:
		d.denyJob(from, call, t.queue)
	default:
		d.queryState(from, t)
	}
}

func (d *Dispatcher) countPending(from waiter, queue specifier.Queue) {
	pending := 0
	for _, j := range d.jobs {
		if j.recorded && !j.ended && !j.started && j.BelongsTo(queue) {
			pending++
		}
	}
	d.reply(from, specifier.QueueReply{Result: specifier.QueueOK, Pending: pending, HasPending: true})
}

// queryState replies with the state of a recorded job, after queryTimeout if the job may end at any moment.
func (d *Dispatcher) queryState(from waiter, t target) {
	state, j := t.record.State, t.job
	if j != nil && state == specifier.JobQueued && j.started {
		state = specifier.JobRunning
	}
	if j != nil && !state.Ended() && j.mayEnd() {
		until := d.now.Add(queryTimeout)
		j.watchers = append(j.watchers, watcher{from: from, until: until})
		d.wake(until, timer{job: j})
		return
	}
	d.reply(from, specifier.QueueReply{Result: specifier.QueueOK, State: state})
}

// expireWatchers answers the waiting queries for a job's state that have waited for queryTimeout.
func (d *Dispatcher) expireWatchers(j *job) {
	for len(j.watchers) > 0 && !d.now.Before(j.watchers[0].until) {
		d.reply(j.watchers[0].from, specifier.QueueReply{Result: specifier.QueueOK, State: specifier.JobRunning})
		j.watchers = j.watchers[1:]
	}
}
