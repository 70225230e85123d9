package dispatcher

import (
	"fmt"
	"path"
	"time"

	"oleandertally/core/specifier"
)

// queryTimeout is how long a query for the state of a job waits while the job may end at any moment. Callers send the query when their
// job should have ended, and would otherwise learn of the end one poll later. Recording an end takes less time.
const queryTimeout = 40 * time.Millisecond

// unavailable is the reply of a controller that does not lead; another controller may be able to answer.
var unavailable = specifier.QueueReply{Result: specifier.QueueUnavailable, Detail: "this controller does not lead"}

func (d *Dispatcher) handleCall(event CallReceived) {
	from := waiter{stream: event.Stream, sequence: event.Sequence}
	if event.Call.Verb == specifier.AbandonQueued {
		d.abandon(from)
		return
	}
	if !d.leading || !d.Leading(d.now) || !d.EnoughVoters() {
		d.reply(from, unavailable)
		return
	}
	switch event.Call.Verb {
	case specifier.PutManifest:
		d.putManifest(from, event.Call.Manifest)
		return
	case specifier.GetManifest:
		d.getManifest(from)
		return
	case specifier.EvacuateZone, specifier.RestoreZone:
		d.changeZone(from, event.Call)
		return
	}
	if d.Recorder.Manifest().Version == 0 {
		d.reply(from, specifier.QueueReply{Result: specifier.QueueRefused, RetryAfter: time.Second, Detail: "there is no manifest yet"})
		return
	}
	t := d.resolve(event.Call)
	if !t.found && (event.Call.Verb == specifier.QueryQueued || !t.knowsJob()) {
		d.reply(from, specifier.QueueReply{Result: specifier.QueueNotFound, Detail: "no such queue"})
		return
	}
	switch event.Call.Verb {
	case specifier.SubmitQueued:
		d.submit(from, event.Call, t)
	case specifier.QueryQueued:
		d.query(from, event.Call, t)
	case specifier.CancelQueued:
		d.cancel(from, event.Call, t)
	default:
		d.reply(from, specifier.QueueReply{Result: specifier.QueueInvalid, Detail: fmt.Sprintf("unknown call %d", event.Call.Verb)})
	}
}

// putManifest proposes a manifest. A manifest that is not newer than the one in force changes nothing and is acknowledged.
func (d *Dispatcher) putManifest(from waiter, manifest *specifier.Manifest) {
	if manifest == nil || manifest.Version == 0 || len(manifest.Document) > specifier.MaxManifest {
		d.reply(from, specifier.QueueReply{Result: specifier.QueueInvalid, Detail: "the manifest has no version or is too large"})
		return
	}
	if manifest.Version <= d.Recorder.Manifest().Version {
		d.reply(from, specifier.QueueReply{Result: specifier.QueueOK})
		return
	}
	d.manifestWaiters[manifest.Version] = append(d.manifestWaiters[manifest.Version], from)
	d.propose(specifier.QueueCommand{Manifest: manifest})
}

func (d *Dispatcher) getManifest(from waiter) {
	manifest := d.Recorder.Manifest()
	if manifest.Version == 0 {
		d.reply(from, specifier.QueueReply{Result: specifier.QueueUnavailable, Detail: "there is no manifest yet"})
		return
	}
	d.reply(from, specifier.QueueReply{Result: specifier.QueueOK, Document: manifest.Document})
}

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

// cancel cancels a transient job immediately. The cancellation of a recorded job is proposed, and the reply follows when it is committed.
func (d *Dispatcher) cancel(from waiter, call specifier.QueueCall, t target) {
	record, j := t.record, t.job
	switch {
	case !t.knowsJob():
		d.denyJob(from, call, t.queue)
	case j != nil && j.Transient:
		d.stopRuns(j)
		d.finish(j, specifier.QueueReply{Result: specifier.QueueOK, State: specifier.JobCancelled})
		d.reply(from, t.cancellation(specifier.JobCancelled))
	case record != nil && record.State.Ended() || j == nil:
		d.reply(from, t.cancellation(record.State))
	case t.found:
		j.waiters = append(j.waiters, from)
		d.calls[from] = j
		d.proposeCancellation(j)
	default:
		j.removedQueueWaiters = append(j.removedQueueWaiters, from)
		d.proposeCancellation(j)
	}
}

// proposeCancellation proposes to cancel a recorded job, none of whose tasks is started meanwhile.
func (d *Dispatcher) proposeCancellation(j *job) {
	j.cancelled = true
	d.dequeueJob(j)
	d.propose(specifier.QueueCommand{Cancel: j.ID})
}

// abandon removes a call whose caller no longer waits. A transient job without waiting calls starts no further task.
func (d *Dispatcher) abandon(from waiter) {
	j := d.calls[from]
	if j == nil {
		return
	}
	delete(d.calls, from)
	for i, each := range j.waiters {
		if each == from {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			break
		}
	}
	if j.Transient && len(j.waiters) == 0 && !j.ended {
		d.dequeueJob(j)
		j.evictAt = d.now.Add(d.Settings.KeepAfter)
		d.wake(j.evictAt, timer{job: j})
		d.emit(LogEvent{Event: "JobAbandoned", Job: j.ID, Queue: j.Queue, Age: d.now.Sub(j.arrived), Count: j.remaining})
	}
}

func (d *Dispatcher) callerDisconnected(stream Stream) {
	var abandoned []waiter
	for from := range d.calls {
		if from.stream == stream {
			abandoned = append(abandoned, from)
		}
	}
	sortWaiters(abandoned)
	for _, from := range abandoned {
		d.abandon(from)
	}
}
