package dispatcher

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// apply applies a committed command, and answers for it when this controller leads.
func (d *Dispatcher) apply(command specifier.QueueCommand) {
	d.Recorder.Apply(command)
	if !d.leading {
		return
	}
	switch {
	case command.Manifest != nil:
		d.manifestChanged(command.Manifest)
	case command.Accept != nil:
		d.accepted(command.Accept.ID)
	case command.Cancel != "":
		d.cancelled(command.Cancel)
	case command.Enroll != "":
		if h := d.holders[command.Enroll]; h != nil {
			h.enrolling = false
		}
	case command.Dismiss != "":
		if h := d.holders[command.Dismiss]; h != nil {
			h.enrolling = false
			d.enroll(h)
		}
	}
	for _, end := range command.Ends {
		d.recorded(end)
	}
}

func (d *Dispatcher) manifestChanged(manifest *specifier.Manifest) {
	d.emit(LogEvent{Event: "ManifestInForce", Count: int(d.Recorder.Manifest().Version)})
	for _, from := range d.puts[manifest.Version] {
		d.reply(from, specifier.QueueReply{Result: specifier.QueueOK})
	}
	delete(d.puts, manifest.Version)
	for _, j := range d.jobs {
		if queue, known := d.Recorder.Manifest().Named(j.Queue); known {
			j.queue = queue
		}
	}
}

// accepted starts a job that is recorded.
func (d *Dispatcher) accepted(id string) {
	j := d.jobs[id]
	if j == nil || j.recorded {
		return
	}
	j.recorded = true
	d.answer(j, specifier.QueueReply{Result: specifier.QueueOK, State: specifier.JobQueued})
	d.release(j)
}

func (d *Dispatcher) answer(j *job, reply specifier.QueueReply) {
	for _, from := range j.waiters {
		delete(d.calls, from)
		d.reply(from, reply)
	}
	j.waiters = nil
}

func (d *Dispatcher) cancelled(id string) {
	j := d.jobs[id]
	if j == nil || j.Transient {
		return
	}
	d.stopJob(j)
	d.finish(j, specifier.QueueReply{Result: specifier.QueueOK, State: specifier.JobCancelled})
}

// recorded goes on after the end of a run of a recorded job, which this leader or an earlier one proposed.
func (d *Dispatcher) recorded(end specifier.TaskEnd) {
	name := taskName(end.Job, end.Step, end.Index)
	for _, h := range d.named {
		if h.record(specifier.RunKey{Task: name, Run: end.Run}) {
			d.acknowledge(h)
		}
	}
	t := d.task(name)
	if t == nil || t.state == taskDone {
		return
	}
	record := d.Recorder.Job(end.Job)
	t.recording = slices.DeleteFunc(t.recording, func(run uint64) bool { return run == end.Run })
	switch {
	case end.How == specifier.EndDone:
		if t.run != nil {
			t.run.task = nil
			d.stop(t.run)
			t.run = nil
		}
		d.done(t)
	case record != nil && record.State == specifier.JobFailed:
		d.fail(t.job)
	case t.state == taskEnding && len(t.recording) == 0:
		d.enqueue(t)
	}
}

// recordAgain is how long after the log did not take the end of a task it is proposed again.
const recordAgain = 50 * time.Millisecond

// recordUnrecorded proposes the ends again that the log did not take.
func (d *Dispatcher) recordUnrecorded() {
	if len(d.unrecorded) == 0 || d.now.Before(d.recordAt) {
		return
	}
	ends := d.unrecorded
	d.unrecorded = nil
	for _, end := range ends {
		d.propose(specifier.QueueCommand{Ends: []specifier.TaskEnd{end}})
	}
}

// dropped answers for a command that the log did not take. Its callers may ask again.
func (d *Dispatcher) dropped(command specifier.QueueCommand) {
	busy := specifier.QueueReply{Result: specifier.QueueUnavailable, Detail: "the log does not take the change now"}
	switch {
	case command.Manifest != nil:
		for _, from := range d.puts[command.Manifest.Version] {
			d.reply(from, busy)
		}
		delete(d.puts, command.Manifest.Version)
	case command.Accept != nil:
		if j := d.jobs[command.Accept.ID]; j != nil && !j.recorded {
			d.answer(j, busy)
			delete(d.jobs, j.ID)
		}
	case command.Cancel != "":
		if j := d.jobs[command.Cancel]; j != nil {
			d.answer(j, busy)
			j.cancelled = false
			d.release(j)
		}
	case len(command.Ends) > 0:
		d.unrecorded = append(d.unrecorded, command.Ends...)
		d.recordAt = d.now.Add(recordAgain)
		d.wake(d.recordAt, timer{})
	case command.Enroll != "" || command.Dismiss != "":
		if h := d.holders[command.Enroll+command.Dismiss]; h != nil {
			h.enrolling = false
		}
	}
}
