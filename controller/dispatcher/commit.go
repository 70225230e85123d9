package dispatcher

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
)

// apply applies a committed command. A leader also continues what waits for the command and answers its callers.
func (d *Dispatcher) apply(command specifier.QueueCommand) {
	evacuationVersion := d.Recorder.EvacuationVersion()
	d.Recorder.Apply(command)
	if !d.leading {
		return
	}
	switch {
	case command.Manifest != nil:
		d.manifestChanged(command.Manifest)
	case command.Accept != nil:
		d.recordDecided(*command.Accept)
		d.accepted(command.Accept.ID)
	case command.Cancel != "":
		d.cancelled(command.Cancel)
	case command.Enroll != "":
		if a := d.agents[command.Enroll]; a != nil {
			a.enrolling = false
			d.touch(a)
		}
	case command.Dismiss != "":
		if a := d.agents[command.Dismiss]; a != nil {
			a.enrolling = false
			d.touch(a)
			d.enroll(a)
		}
	case command.Evacuate != "":
		d.zoneCommitted(specifier.EvacuateZone, command.Evacuate, evacuationVersion)
	case command.Restore != "":
		d.zoneCommitted(specifier.RestoreZone, command.Restore, evacuationVersion)
	}
	for _, end := range command.Ends {
		d.endRecorded(end)
	}
	d.announced(command)
}

func (d *Dispatcher) manifestChanged(manifest *specifier.Manifest) {
	d.emit(LogEvent{Event: "ManifestInForce", Count: int(d.Recorder.Manifest().Version)})
	d.answerManifest(manifest.Version, specifier.QueueReply{Result: specifier.QueueOK})
	for _, j := range d.jobs {
		if queue, known := d.Recorder.Manifest().QueueByName(j.Queue); known {
			j.queue = queue
		}
	}
	d.requeueAll()
}

// accepted answers for a job that is now recorded, and queues its first tasks.
func (d *Dispatcher) accepted(id string) {
	j := d.jobs[id]
	if j == nil || j.recorded {
		return
	}
	j.recorded = true
	d.answer(j, specifier.QueueReply{Result: specifier.QueueOK, State: specifier.JobQueued})
	d.enqueueUnblocked(j)
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
	d.stopRuns(j)
	d.finish(j, specifier.QueueReply{Result: specifier.QueueOK, State: specifier.JobCancelled})
}

// endRecorded handles the committed end of a run of a recorded job, which this leader or an earlier one proposed.
func (d *Dispatcher) endRecorded(end specifier.TaskEnd) {
	name := taskName(end.Job, end.Step, end.Index)
	for _, a := range d.agentsByName {
		if a.markRecorded(specifier.RunKey{Task: name, Run: end.Run}) {
			d.acknowledge(a)
		}
	}
	t := d.task(name)
	if t == nil || t.state == taskDone {
		return
	}
	record := d.Recorder.Job(end.Job)
	t.recordingRuns = slices.DeleteFunc(t.recordingRuns, func(run uint64) bool { return run == end.Run })
	switch {
	case end.Kind == specifier.EndDone:
		if t.run != nil {
			t.run.task = nil
			d.stop(t.run)
			t.run = nil
		}
		d.taskCompleted(t)
	case record != nil && record.State == specifier.JobFailed:
		d.failJob(t.job)
	case t.state == taskEnding && len(t.recordingRuns) == 0:
		d.enqueue(t)
	}
}

// recordRetryInterval is how long after the log rejected a task's end the end is proposed again.
const recordRetryInterval = 50 * time.Millisecond

// retryRejectedEnds proposes again the ends that the log rejected.
func (d *Dispatcher) retryRejectedEnds() {
	if len(d.rejectedEnds) == 0 || d.now.Before(d.retryEndsAt) {
		return
	}
	ends := d.rejectedEnds
	d.rejectedEnds = nil
	for _, end := range ends {
		d.propose(specifier.QueueCommand{Ends: []specifier.TaskEnd{end}})
	}
}

// commandRejected answers the callers of a command that the log did not accept; they may repeat the call. Ends of tasks are proposed again.
func (d *Dispatcher) commandRejected(event Rejected) {
	command := event.Command
	busy := specifier.QueueReply{Result: specifier.QueueUnavailable, Detail: "the log does not take the change now"}
	switch {
	case command.Manifest != nil && event.TooLarge:
		d.answerManifest(command.Manifest.Version, specifier.QueueReply{Result: specifier.QueueInvalid, Detail: "the manifest is too large for the log"})
	case command.Manifest != nil:
		d.answerManifest(command.Manifest.Version, busy)
	case command.Accept != nil:
		d.recordDecided(*command.Accept)
		if j := d.jobs[command.Accept.ID]; j != nil && !j.recorded {
			d.answer(j, busy)
			d.answerInRemovedQueue(j, busy)
			delete(d.jobs, j.ID)
		}
	case command.Cancel != "":
		if j := d.jobs[command.Cancel]; j != nil {
			d.answer(j, busy)
			d.answerInRemovedQueue(j, busy)
			j.cancelled = false
			d.enqueueUnblocked(j)
		}
	case len(command.Ends) > 0:
		d.rejectedEnds = append(d.rejectedEnds, command.Ends...)
		d.retryEndsAt = d.now.Add(recordRetryInterval)
		d.wake(d.retryEndsAt, timer{})
	case len(command.Announced) > 0 || command.Announcing != specifier.AnnouncingUnchanged:
		d.announcementRejected(command)
	case command.Evacuate != "":
		d.zoneRejected(specifier.EvacuateZone, command.Evacuate, busy)
	case command.Restore != "":
		d.zoneRejected(specifier.RestoreZone, command.Restore, busy)
	case command.Enroll != "" || command.Dismiss != "":
		if a := d.agents[command.Enroll+command.Dismiss]; a != nil {
			a.enrolling = false
		}
	}
}
