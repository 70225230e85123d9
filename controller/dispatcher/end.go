package dispatcher

import (
	"time"

	"oleandertally/core/specifier"
)

// handleEnd handles the end of a run, reported by the run's worker.
func (d *Dispatcher) handleEnd(a *agent, end specifier.RunEnd) {
	if end.Number <= a.handledEnd {
		return
	}
	a.handledEnd = end.Number
	pending := &pendingEnd{number: end.Number, recorded: true}
	a.ends = append(a.ends, pending)
	r := a.runs[end.Key]
	if r != nil {
		a.remove(r)
		d.touch(a)
		if d.orphans[end.Key.Task] == r {
			delete(d.orphans, end.Key.Task)
		}
	}
	t := d.task(end.Key.Task)
	if t == nil {
		if d.Recorder.Job(jobOf(end.Key.Task)) == nil && end.Kind == specifier.EndDone {
			d.unclaimedEnds[end.Key.Task] = end
			d.evictUnclaimedEnds()
		}
		return
	}
	// During recovery, the run of an earlier leader is current too if its task has no other run.
	current := r != nil && t.run == r || t.run == nil && (t.state == taskReady || t.state == taskBlocked) && !d.recoveryUntil.IsZero()
	counts := end.Kind == specifier.EndDone || end.Kind == specifier.EndFailed && (current || !t.job.Transient)
	if t.state == taskDone || !current && !counts {
		return
	}
	if !current && t.run != nil && end.Kind == specifier.EndDone {
		// The task is done, so the run that replaced this one is stopped.
		other := t.run
		t.run, other.task = nil, nil
		d.stop(other)
	}
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
	d.updateHealth(a, t, r, end)
	if !counts {
		d.emit(LogEvent{Event: "TaskInterrupted", Job: t.job.ID, Task: t.name, Run: end.Key.Run, Agent: a.name, Detail: end.Kind.String()})
		if t.state == taskPlaced {
			d.enqueue(t)
		}
		return
	}
	if t.job.Transient {
		t.run = nil
		if end.Kind == specifier.EndDone {
			d.taskCompleted(t)
			return
		}
		t.failures++
		if t.failures >= max(t.job.queue.MaxAttempts, 1) {
			d.failJob(t.job)
			return
		}
		d.enqueue(t)
		return
	}
	d.proposeEnd(t, r, pending, end, current)
}

// proposeEnd proposes the end of a run of a recorded job. An end that the log already holds may be acknowledged immediately. The
// failure of a run that has been replaced counts as an attempt but does not change the state of the task.
func (d *Dispatcher) proposeEnd(t *task, r *run, pending *pendingEnd, end specifier.RunEnd, current bool) {
	if r != nil {
		r.task = nil
	}
	recording := specifier.TaskEnd{Job: t.job.ID, Step: t.stepNumber, Index: t.index, Run: end.Key.Run, Kind: end.Kind}
	if known := d.Recorder.Job(t.job.ID); known == nil || !known.ChangedBy(recording) {
		if t.run == r && t.state == taskPlaced {
			d.enqueue(t)
		}
		return
	}
	if current || end.Kind == specifier.EndDone {
		d.dequeue(t)
		t.state, t.run = taskEnding, nil
		t.recordingRuns = append(t.recordingRuns, end.Key.Run)
	}
	t.job.started = true
	pending.recorded, pending.key = false, end.Key
	d.propose(specifier.QueueCommand{Ends: []specifier.TaskEnd{recording}})
}

// updateHealth updates the worker's health from the end of a run, and logs the end.
func (d *Dispatcher) updateHealth(a *agent, t *task, r *run, end specifier.RunEnd) {
	age := d.now.Sub(t.job.arrived)
	switch end.Kind {
	case specifier.EndDone:
		if r != nil {
			a.health.succeeded()
			d.learn(a, t, r)
		}
		d.emit(LogEvent{Event: "TaskDone", Job: t.job.ID, Task: t.name, Run: end.Key.Run, Agent: a.name, Age: age})
	case specifier.EndFailed:
		t.avoid = a
		d.emit(LogEvent{Event: "TaskFailed", Job: t.job.ID, Task: t.name, Run: end.Key.Run, Agent: a.name, Age: age})
		if a.health.failed(t.job.ID, d.now) {
			d.ejected(a)
			d.emit(LogEvent{Event: "WorkerOut", Agent: a.name, Detail: "jobs fail there one after the other"})
		}
	}
}

// learn updates what is predicted about a worker, a queue and a pool from a run that succeeded. A run that this leader did not start
// tells nothing, since it is not known when it began.
func (d *Dispatcher) learn(a *agent, t *task, r *run) {
	if a.pool == nil || r.expectedEnd.IsZero() {
		return
	}
	expected := r.expectedEnd.Sub(r.startedAt)
	a.pool.pace.Add(t.coreSeconds(), runTimeRatio(r.startedAt, d.now, expected))
	a.pool.estimates.Ended(d.now, r.sample(t, d.now))
}

// taskCompleted marks a task as done, and completes the job with its last task.
func (d *Dispatcher) taskCompleted(t *task) {
	j := t.job
	if j.ended || t.state == taskDone {
		return
	}
	d.dequeue(t)
	t.state = taskDone
	j.openTasks[t.stepNumber]--
	j.remaining--
	if j.remaining == 0 {
		d.finish(j, specifier.QueueReply{Result: specifier.QueueOK, State: specifier.JobCompleted})
		return
	}
	if j.openTasks[t.stepNumber] == 0 {
		d.enqueueUnblocked(j)
	}
}

// failJob ends a job when one of its tasks has used all attempts.
func (d *Dispatcher) failJob(j *job) {
	d.stopRuns(j)
	d.finish(j, specifier.QueueReply{Result: specifier.QueueOK, State: specifier.JobFailed})
}

// startRefused handles a start that the agent or its worker refused.
func (d *Dispatcher) startRefused(a *agent, end specifier.RunEnd) {
	r := a.runs[end.Key]
	if r == nil {
		return
	}
	if t := r.task; t != nil && t.run == r {
		t.avoid = a
		a.noStartsUntil = d.now.Add(refusalPause)
		d.wake(a.noStartsUntil, timer{returning: a})
		if (end.Kind == specifier.EndRefusedUnhealthy || end.Kind == specifier.EndRefusedOther) && a.health.failed(t.job.ID, d.now) {
			d.ejected(a)
			d.emit(LogEvent{Event: "WorkerOut", Agent: a.name, Detail: "it refuses starts"})
		}
	}
	d.loseRun(r, end.Kind)
}

// refusalPause is how long no task is started at an agent that refused a start.
const refusalPause = 20 * time.Millisecond

// maxUnclaimedEnds bounds the ends that are kept for a resubmission of their job.
const maxUnclaimedEnds = 4096

func (d *Dispatcher) evictUnclaimedEnds() {
	if len(d.unclaimedEnds) > maxUnclaimedEnds {
		clear(d.unclaimedEnds)
	}
}
