package dispatcher

import (
	"time"

	"oleandertally/core/specifier"
)

// end handles an end that a worker listed.
func (d *Dispatcher) end(h *holder, end specifier.RunEnd) {
	if end.Number <= h.processed {
		return
	}
	h.processed = end.Number
	pending := &pendingEnd{number: end.Number, recorded: true}
	h.ends = append(h.ends, pending)
	r := h.runs[end.Key]
	if r != nil {
		h.remove(r)
		if d.orphans[end.Key.Task] == r {
			delete(d.orphans, end.Key.Task)
		}
	}
	t := d.task(end.Key.Task)
	if t == nil {
		if d.Recorder.Job(jobOf(end.Key.Task)) == nil && end.How == specifier.EndDone {
			d.finished[end.Key.Task] = end
			d.forgetFinished()
		}
		return
	}
	// An end under an earlier leader counts as well while the task has no other run.
	current := r != nil && t.run == r || t.run == nil && (t.state == taskReady || t.state == taskBlocked) && !d.gather.IsZero()
	counts := end.How == specifier.EndDone || end.How == specifier.EndFailed && (current || !t.job.Transient)
	if t.state == taskDone || !current && !counts {
		return
	}
	if !current && t.run != nil && end.How == specifier.EndDone {
		// The task is done: the run that took its place is of no use.
		other := t.run
		t.run, other.task = nil, nil
		d.stop(other)
	}
	if end.Saved != "" {
		t.saved = end.Saved
	}
	d.judge(h, t, r, end)
	if !counts {
		d.emit(LogEvent{Event: "TaskInterrupted", Job: t.job.ID, Task: t.name, Run: end.Key.Run, Agent: h.name, Detail: end.How.String()})
		if t.state == taskPlaced {
			d.enqueue(t)
		}
		return
	}
	if t.job.Transient {
		t.run = nil
		if end.How == specifier.EndDone {
			d.done(t)
			return
		}
		t.failures++
		if t.failures >= max(t.job.queue.MaxAttempts, 1) {
			d.fail(t.job)
			return
		}
		d.enqueue(t)
		return
	}
	d.record(t, r, pending, end, current)
}

// record proposes the end of a run of a recorded job. An end that the log holds already may be noted at once; a failure of a run that
// another one has replaced counts as an attempt and leaves the task as it is.
func (d *Dispatcher) record(t *task, r *run, pending *pendingEnd, end specifier.RunEnd, current bool) {
	if r != nil {
		r.task = nil
	}
	recording := specifier.TaskEnd{Job: t.job.ID, Step: t.step, Index: t.index, Run: end.Key.Run, How: end.How}
	if known := d.Recorder.Job(t.job.ID); known == nil || !known.Counts(recording) {
		if t.run == r && t.state == taskPlaced {
			d.enqueue(t)
		}
		return
	}
	if current || end.How == specifier.EndDone {
		t.state, t.run = taskEnding, nil
		t.recording = append(t.recording, end.Key.Run)
	}
	t.job.started = true
	pending.recorded, pending.key = false, end.Key
	d.propose(specifier.QueueCommand{Ends: []specifier.TaskEnd{recording}})
}

// judge lets the end tell about the worker.
func (d *Dispatcher) judge(h *holder, t *task, r *run, end specifier.RunEnd) {
	age := d.now.Sub(t.job.arrived)
	switch end.How {
	case specifier.EndDone:
		if r != nil {
			h.health.succeeded(takenFor(r.began, d.now, t.job.Steps[t.step].Estimate))
		}
		d.emit(LogEvent{Event: "TaskDone", Job: t.job.ID, Task: t.name, Run: end.Key.Run, Agent: h.name, Age: age})
	case specifier.EndFailed:
		t.avoid = h
		d.emit(LogEvent{Event: "TaskFailed", Job: t.job.ID, Task: t.name, Run: end.Key.Run, Agent: h.name, Age: age})
		if h.health.failed(t.job.ID, d.now) {
			d.emit(LogEvent{Event: "WorkerOut", Agent: h.name, Detail: "jobs fail there one after the other"})
		}
	}
}

// done ends a task, and its job with its last one.
func (d *Dispatcher) done(t *task) {
	j := t.job
	if j.ended || t.state == taskDone {
		return
	}
	t.state = taskDone
	j.open[t.step]--
	j.left--
	if j.left == 0 {
		d.finish(j, specifier.QueueReply{Result: specifier.QueueOK, State: specifier.JobCompleted})
		return
	}
	if j.open[t.step] == 0 {
		d.release(j)
	}
}

// fail ends a job of which a task has used all its attempts.
func (d *Dispatcher) fail(j *job) {
	d.stopJob(j)
	d.finish(j, specifier.QueueReply{Result: specifier.QueueOK, State: specifier.JobFailed})
}

// refused handles a start that did not happen.
func (d *Dispatcher) refused(h *holder, end specifier.RunEnd) {
	r := h.runs[end.Key]
	if r == nil {
		return
	}
	if t := r.task; t != nil && t.run == r {
		t.avoid = h
		h.restUntil = d.now.Add(restAfter)
		d.wake(h.restUntil, timer{})
		if (end.How == specifier.EndRefusedSick || end.How == specifier.EndRefusedOther) && h.health.failed(t.job.ID, d.now) {
			d.emit(LogEvent{Event: "WorkerOut", Agent: h.name, Detail: "it refuses starts"})
		}
	}
	d.lose(r, end.How)
}

// restAfter is how long an agent that refused a start gets none.
const restAfter = 20 * time.Millisecond

// finishedMost bounds the ends that wait for a resubmission of their job.
const finishedMost = 4096

func (d *Dispatcher) forgetFinished() {
	if len(d.finished) > finishedMost {
		clear(d.finished)
	}
}
