package dispatcher

import "oleandertally/core/specifier"

// finish ends a job and answers its waiting calls.
func (d *Dispatcher) finish(j *job, outcome specifier.QueueReply) {
	if j.ended {
		return
	}
	j.ended, j.outcome = true, outcome
	d.dequeueJob(j)
	for _, from := range j.waiters {
		delete(d.calls, from)
		d.reply(from, outcome)
	}
	d.emit(LogEvent{Event: "JobEnded", Job: j.ID, Queue: j.Queue, Age: d.now.Sub(j.arrived), Count: j.remaining, Detail: outcomeName(outcome)})
	for _, watching := range j.watchers {
		d.reply(watching.from, outcome)
	}
	d.answerInRemovedQueue(j, queueRemoved)
	j.waiters, j.watchers = nil, nil
	if !j.Transient {
		delete(d.jobs, j.ID)
		return
	}
	j.evictAt = d.now.Add(d.Settings.KeepAfter)
	d.wake(j.evictAt, timer{job: j})
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

// orphanRuns stops the runs of a job that is being deleted. A resubmission can claim them until their ends are reported.
func (d *Dispatcher) orphanRuns(j *job) {
	j.eachTask(func(t *task) {
		if r := t.run; r != nil {
			t.run, r.task = nil, nil
			d.orphans[t.name] = r
			d.stop(r)
		}
	})
}

// stopRuns stops all runs of a job.
func (d *Dispatcher) stopRuns(j *job) {
	j.eachTask(func(t *task) {
		if t.run != nil {
			d.stop(t.run)
		}
	})
}
