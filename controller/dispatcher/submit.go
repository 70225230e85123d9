package dispatcher

import (
	"time"

	"oleandertally/core/specifier"
)

// submit takes in a job. A resubmission of a known job joins it.
func (d *Dispatcher) submit(from waiter, call specifier.QueueCall, queue specifier.Queue, id string) {
	definition := call.Job
	definition.ID, definition.Queue = id, queue.Name
	if problems := definition.Check(); problems != nil {
		d.reply(from, specifier.QueueReply{Result: specifier.QueueInvalid, Detail: problems.Error()})
		return
	}
	if j := d.jobs[id]; j != nil {
		d.resubmit(from, j, queue)
		return
	}
	if record := d.Recorder.Job(id); record != nil {
		if record.Job.Queue != queue.Name {
			d.reply(from, specifier.QueueReply{Result: specifier.QueueRefused, Detail: "another queue has a job of this ID"})
			return
		}
		d.reply(from, specifier.QueueReply{Result: specifier.QueueOK, State: record.State})
		return
	}
	if reply, refused := d.refusal(definition, queue); refused {
		d.emit(LogEvent{Event: "JobRefused", Job: id, Queue: queue.Name, Detail: reply.Detail, Count: d.waiting})
		d.reply(from, reply)
		return
	}
	j := newJob(definition, queue, d.now.Add(-call.Age))
	d.jobs[id] = j
	d.join(from, j)
	d.emit(LogEvent{Event: "JobArrived", Job: id, Queue: queue.Name, Count: j.left, Age: j.ideal})
	if !definition.Transient {
		d.propose(specifier.QueueCommand{Accept: &definition})
		return
	}
	d.wake(j.late, timer{job: j})
	d.claim(j)
	d.release(j)
}

func (d *Dispatcher) join(from waiter, j *job) {
	j.waiters = append(j.waiters, from)
	j.forgetAt = time.Time{}
	d.calls[from] = j
}

// resubmit answers for a job that is known to this leader.
func (d *Dispatcher) resubmit(from waiter, j *job, queue specifier.Queue) {
	switch {
	case j.Queue != queue.Name:
		d.reply(from, specifier.QueueReply{Result: specifier.QueueRefused, Detail: "another queue has a job of this ID"})
	case j.ended:
		d.reply(from, j.outcome)
	case j.recorded:
		d.reply(from, specifier.QueueReply{Result: specifier.QueueOK, State: specifier.JobQueued})
	default:
		d.emit(LogEvent{Event: "JobResubmitted", Job: j.ID, Queue: j.Queue, Age: d.now.Sub(j.arrived), Count: j.left})
		d.join(from, j)
		d.release(j)
	}
}

// claim takes over what runs of a transient job, and what has ended of it, under an earlier leader.
func (d *Dispatcher) claim(j *job) {
	j.all(func(t *task) {
		if end, ok := d.finished[t.name]; ok {
			delete(d.finished, t.name)
			t.state = taskDone
			j.open[t.step]--
			j.left--
			j.started = true
			d.emit(LogEvent{Event: "TaskDone", Job: j.ID, Task: t.name, Run: end.Key.Run, Detail: "under an earlier leader"})
			return
		}
		if r := d.orphans[t.name]; r != nil {
			delete(d.orphans, t.name)
			d.adopt(t, r)
		}
	})
	if j.left == 0 {
		d.finish(j, specifier.QueueReply{Result: specifier.QueueOK, State: specifier.JobCompleted})
	}
}

func (d *Dispatcher) adopt(t *task, r *run) {
	t.state, t.run, r.task = taskPlaced, r, t
	r.holder.learnRoom(r, t.job.Steps[t.step].Resources)
	t.job.started = true
	d.emit(LogEvent{Event: "RunAdopted", Job: t.job.ID, Task: t.name, Run: r.key.Run, Agent: r.holder.name})
	d.watch(r)
}

// release queues every task whose step may begin.
func (d *Dispatcher) release(j *job) {
	if j.ended {
		return
	}
	for step := range j.tasks {
		if j.open[step] == 0 || !j.unblocked(step) {
			continue
		}
		for _, t := range j.tasks[step] {
			if t.state == taskBlocked {
				d.enqueue(t)
			}
		}
	}
}

// enqueue lets a task wait for room.
func (d *Dispatcher) enqueue(t *task) {
	t.state, t.run = taskReady, nil
	if t.queued || t.job.ended || t.job.cancelled {
		return
	}
	d.waiting++
	d.ready.push(d.key(t), t)
}

// finish ends a job for its callers.
func (d *Dispatcher) finish(j *job, outcome specifier.QueueReply) {
	if j.ended {
		return
	}
	j.ended, j.outcome = true, outcome
	for _, from := range j.waiters {
		delete(d.calls, from)
		d.reply(from, outcome)
	}
	d.emit(LogEvent{Event: "JobEnded", Job: j.ID, Queue: j.Queue, Age: d.now.Sub(j.arrived), Count: j.left, Detail: outcomeName(outcome)})
	for _, watching := range j.watchers {
		d.reply(watching.from, outcome)
	}
	j.waiters, j.watchers = nil, nil
	if !j.Transient {
		delete(d.jobs, j.ID)
		return
	}
	j.forgetAt = d.now.Add(d.Settings.KeepAfter)
	d.wake(j.forgetAt, timer{job: j})
}

func outcomeName(outcome specifier.QueueReply) string {
	switch {
	case outcome.Result != specifier.QueueOK:
		return outcome.Detail
	case outcome.State == specifier.JobCompleted:
		return "Completed"
	case outcome.State == specifier.JobFailed:
		return "Failed"
	}
	return "Cancelled"
}

// releaseRuns stops the runs of a job that is forgotten. A resubmission can claim them until their ends are listed.
func (d *Dispatcher) releaseRuns(j *job) {
	j.all(func(t *task) {
		if r := t.run; r != nil {
			t.run, r.task = nil, nil
			d.orphans[t.name] = r
			d.stop(r)
		}
	})
}

// stopJob takes a job's tasks off the workers.
func (d *Dispatcher) stopJob(j *job) {
	j.all(func(t *task) {
		if t.run != nil {
			d.stop(t.run)
		}
	})
}

// expireJob handles the deadlines of a job: it is given up when its end is of no use and nothing of it has run, and
// it is forgotten some time after its end.
func (d *Dispatcher) expireJob(j *job) {
	if d.jobs[j.ID] != j {
		return
	}
	d.tell(j)
	if !j.ended && !j.started && !d.now.Before(j.late) && j.Transient {
		d.finish(j, specifier.QueueReply{Result: specifier.QueueRefused, RetryAfter: d.backlog(), Detail: "it could not start in time"})
		return
	}
	if !j.forgetAt.IsZero() && !d.now.Before(j.forgetAt) {
		if !j.ended {
			j.ended = true
			d.releaseRuns(j)
		}
		delete(d.jobs, j.ID)
	}
}
