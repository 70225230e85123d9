package dispatcher

import (
	"strings"
	"time"

	"oleandertally/core/specifier"
)

// submit accepts or refuses a job. A resubmission of a known job waits for the same outcome.
func (d *Dispatcher) submit(from waiter, call specifier.QueueCall, t target) {
	if t.knowsJob() {
		d.resubmit(from, t)
		return
	}
	id, queue := t.id, t.queue
	if strings.Contains(id, "/") {
		// The path may belong to a queue with a longer prefix that was removed, where the job may have run.
		d.reply(from, specifier.QueueReply{Result: specifier.QueueInvalid, Detail: "the job's ID contains a slash"})
		return
	}
	definition := call.Job
	definition.ID, definition.Queue, definition.Terms = id, queue.Name, queue
	if problems := definition.Check(); problems != nil {
		d.reply(from, specifier.QueueReply{Result: specifier.QueueInvalid, Detail: problems.Error()})
		return
	}
	if d.jobs[id] != nil || d.Recorder.Job(id) != nil {
		d.reply(from, specifier.QueueReply{Result: specifier.QueueRefused, Detail: "another queue has a job of this ID"})
		return
	}
	j := newJob(definition, queue, d.now.Add(-call.Age), d.pool(queue.Pool).estimates.QueueFactor(queue.Name))
	j.zone = call.Zone
	if reply, refused := d.refusal(j); refused {
		d.emit(LogEvent{Event: "JobRefused", Job: id, Queue: queue.Name, Detail: reply.Detail, Count: d.waitingTasks})
		d.reply(from, reply)
		return
	}
	d.kind(j).Zones.Serve(d.now, j.zone, j.coreSeconds())
	d.jobs[id] = j
	d.addWaiter(from, j)
	d.emit(LogEvent{Event: "JobArrived", Job: id, Queue: queue.Name, Count: j.remaining, Age: j.criticalPath})
	if !definition.Transient {
		d.proposeRecord(definition)
		return
	}
	d.begin(j, call.Resubmitted)
}

// begin queues the first tasks of a new transient job, unless the job may be running under an earlier leader.
func (d *Dispatcher) begin(j *job, resubmitted bool) {
	d.wake(later(j.decideAt, d.now), timer{job: j})
	d.wake(later(j.expiresAt.Add(-j.criticalPath), d.now), timer{job: j})
	d.wake(j.expiresAt, timer{job: j})
	if !d.trusting || resubmitted || d.Recorder.Announced(j.ID) {
		d.hold(j)
	}
	j.unannounced = !d.announce(j)
	d.claim(j)
	d.enqueueUnblocked(j)
}

func (d *Dispatcher) addWaiter(from waiter, j *job) {
	j.waiters = append(j.waiters, from)
	j.evictAt = time.Time{}
	d.calls[from] = j
}

// queueRemovedMeanwhile is the reply to the resubmission of a known job whose queue was removed: it neither counts as service by the
// removed queue nor denies that the job runs.
var queueRemovedMeanwhile = specifier.QueueReply{Result: specifier.QueueExpired, Detail: "the queue was removed; the job was submitted before and may have run"}

// resubmit answers for a job that is recorded or known to this leader.
func (d *Dispatcher) resubmit(from waiter, t target) {
	j := t.job
	switch {
	case !t.queueFound:
		d.reply(from, queueRemovedMeanwhile)
	case j == nil:
		d.reply(from, specifier.QueueReply{Result: specifier.QueueOK, State: t.record.State})
	case j.ended:
		d.reply(from, j.outcome)
	case j.recorded:
		d.reply(from, specifier.QueueReply{Result: specifier.QueueOK, State: specifier.JobQueued})
	default:
		d.emit(LogEvent{Event: "JobResubmitted", Job: j.ID, Queue: j.Queue, Age: d.now.Sub(j.arrived), Count: j.remaining})
		d.addWaiter(from, j)
		d.enqueueUnblocked(j)
	}
}

// claim assigns a new transient job the runs and ends of its tasks that date from an earlier leader or submission.
func (d *Dispatcher) claim(j *job) {
	j.eachTask(func(t *task) {
		if end, ok := d.unclaimedEnds[t.name]; ok {
			delete(d.unclaimedEnds, t.name)
			t.state = taskDone
			j.openTasks[t.stepNumber]--
			j.remaining--
			j.started = true
			d.emit(LogEvent{Event: "TaskDone", Job: j.ID, Task: t.name, Run: end.Key.Run, Detail: "under an earlier leader"})
			return
		}
		if r := d.orphans[t.name]; r != nil {
			delete(d.orphans, t.name)
			d.adopt(t, r)
		}
	})
	if j.remaining == 0 {
		d.finish(j, specifier.QueueReply{Result: specifier.QueueOK, State: specifier.JobCompleted})
	}
}

func (d *Dispatcher) adopt(t *task, r *run) {
	d.dequeue(t)
	t.state, t.run, r.task = taskPlaced, r, t
	r.agent.setResources(r, t.step().Resources)
	r.count(d.kind(t.job))
	d.touch(r.agent)
	t.job.started = true
	d.emit(LogEvent{Event: "RunAdopted", Job: t.job.ID, Task: t.name, Run: r.key.Run, Agent: r.agent.name})
	d.scheduleStallCheck(r)
}

// enqueueUnblocked queues the blocked tasks of every step whose earlier steps are done.
func (d *Dispatcher) enqueueUnblocked(j *job) {
	if j.ended || j.blocked() {
		return
	}
	for step := range j.tasks {
		if j.openTasks[step] == 0 || !j.unblocked(step) {
			continue
		}
		for _, t := range j.tasks[step] {
			if t.state == taskBlocked {
				d.enqueue(t)
			}
		}
	}
}
