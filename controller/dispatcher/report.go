package dispatcher

import (
	"time"

	"oleandertally/core/specifier"
)

// reported handles a report of an agent. Ends and refusals come before the list: a run that is not in the list and has
// no end is gone.
func (d *Dispatcher) reported(event ReportReceived) {
	if !d.leading || event.Report.Agent == "" {
		return
	}
	report := event.Report
	h := d.attach(event.Stream, report)
	if h == nil {
		return
	}
	h.settled, h.leaving = h.settled || report.Settled && report.Listed && report.Token == d.fence(h), report.Leaving
	if report.Worker != nil {
		d.see(h, report.Worker)
	}
	if report.Renewal > 0 && d.Leading(d.now) {
		h.renewed, h.grantUntil = d.now, d.now.Add(d.Settings.GrantSpan)
		d.orderTo(h).Granted = report.Renewal
	}
	if report.Listed || h.listed {
		// The first list of a term comes with all ends: to note a later one would pass over those before it.
		for _, end := range report.Ends {
			d.end(h, end)
		}
	}
	for _, end := range report.Refused {
		d.refused(h, end)
	}
	if report.Listed {
		d.list(h, report)
	}
	d.enroll(h)
	d.acknowledge(h)
}

// enroll records that tasks may run at an agent before the first one is started there, and that none do any more once its
// worker leaves: a new leader waits for the agents that are recorded.
func (d *Dispatcher) enroll(h *holder) {
	if h.enrolling || !d.Leading(d.now) {
		return
	}
	wanted := h.worker != nil && !h.worker.Draining && !h.leaving
	switch enrolled := d.Recorder.Enrolled(h.name); {
	case wanted && !enrolled:
		h.enrolling = true
		d.propose(specifier.QueueCommand{Enroll: h.name})
	case !wanted && enrolled && h.listed && h.settled && len(h.runs) == 0 && d.gather.IsZero():
		h.enrolling = true
		d.propose(specifier.QueueCommand{Dismiss: h.name})
	}
}

// attach returns the holder of the agent that reports on a stream, or nil for a stream that another one replaced.
func (d *Dispatcher) attach(stream Stream, report specifier.LeaseReport) *holder {
	h := d.holders[report.Agent]
	if h == nil {
		h = &holder{name: report.Agent, runs: make(map[specifier.RunKey]*run)}
		d.addHolder(h)
	}
	if h.stream == stream {
		return h
	}
	if stream < h.stream {
		return nil
	}
	delete(d.streams, h.stream)
	if h.incarnation != report.Incarnation {
		h.settled = false
		d.epochs[h.name]++
	}
	if h.renewed.IsZero() {
		d.wake(d.now.Add(d.Settings.GrantSpan+d.Settings.GrantMargin), timer{holder: h})
	}
	h.stream, h.incarnation, h.listed = stream, report.Incarnation, false
	for _, r := range h.runs {
		r.order = 0 // what was sent on an earlier stream has arrived or never will
	}
	d.streams[stream] = h
	d.emit(LogEvent{Event: "AgentAttached", Agent: h.name})
	return h
}

// see notes what the worker says of itself. A new life has run nothing.
func (d *Dispatcher) see(h *holder, worker *specifier.LeasedWorker) {
	if h.worker == nil || h.worker.ID != worker.ID || !h.worker.Born.Equal(worker.Born) {
		h.processed, h.noted, h.ends = 0, 0, nil
		h.health = health{}
		if h.worker != nil {
			h.settled = false // until the agent has fenced off what was meant for the former life
		}
		d.emit(LogEvent{Event: "WorkerSeen", Agent: h.name, Detail: worker.ID})
	}
	if h.worker != nil && !h.worker.Draining && worker.Draining {
		d.emit(LogEvent{Event: "WorkerDraining", Agent: h.name, Detail: worker.ID})
	}
	h.worker = worker
}

func (d *Dispatcher) agentGone(stream Stream) {
	h := d.streams[stream]
	if h == nil {
		return
	}
	delete(d.streams, stream)
	h.stream, h.listed = 0, false
	d.emit(LogEvent{Event: "AgentDetached", Agent: h.name, Age: d.now.Sub(h.renewed)})
}

// expireHolder gives up an agent whose grant has ended: nothing runs at its worker any more.
func (d *Dispatcher) expireHolder(h *holder) {
	if d.holders[h.name] != h {
		return
	}
	end := h.grantUntil.Add(d.Settings.GrantMargin)
	if d.now.Before(end) {
		d.wake(end, timer{holder: h})
		return
	}
	if d.now.Before(d.gather) {
		d.wake(d.gather.Add(d.Settings.GrantMargin), timer{holder: h})
		return
	}
	d.emit(LogEvent{Event: "AgentLost", Agent: h.name, Age: d.now.Sub(h.renewed), Count: len(h.runs)})
	for _, r := range h.sorted() {
		d.lose(r, specifier.EndLapsed)
	}
	d.removeHolder(h)
	delete(d.streams, h.stream)
	if d.Recorder.Enrolled(h.name) {
		d.propose(specifier.QueueCommand{Dismiss: h.name})
	}
}

// list compares what the agent holds with what it was told.
func (d *Dispatcher) list(h *holder, report specifier.LeaseReport) {
	h.listed = true
	seen := report.Orders
	if report.Token != d.fence(h) {
		seen = 0 // it counts the orders of an earlier leader, or of an earlier term of this one
	}
	held := make(map[specifier.RunKey]bool, len(report.Runs))
	for _, each := range report.Runs {
		held[each.Key] = true
		if known := h.runs[each.Key]; known != nil {
			if known.task != nil && each.Saved != "" {
				known.task.saved = each.Saved
			}
			continue
		}
		d.discover(h, each)
	}
	for _, r := range h.sorted() {
		if h.settled && !held[r.key] && r.order <= seen {
			d.lose(r, specifier.EndLapsed)
		}
	}
}

// discover takes in a run that this leader did not start.
func (d *Dispatcher) discover(h *holder, listed specifier.LeasedRun) {
	r := &run{key: listed.Key, holder: h, room: listed.Resources, began: d.now}
	t := d.task(listed.Key.Task)
	if r.room == (specifier.Resources{}) && t != nil {
		r.room = t.job.Steps[t.step].Resources
	}
	h.add(r)
	switch {
	case t != nil && (t.state == taskReady || t.state == taskBlocked) && !d.gather.IsZero():
		d.adopt(t, r)
	case t != nil || d.gather.IsZero():
		// It is done, runs elsewhere or may be started elsewhere at any moment, or its job has ended.
		if other := d.orphans[r.key.Task]; t == nil && other == nil && d.Recorder.Job(jobOf(r.key.Task)) == nil {
			d.orphans[r.key.Task] = r
			d.watchOrphan(r)
			return
		}
		d.stop(r)
	default:
		if other := d.orphans[r.key.Task]; other != nil && other.key.Run > r.key.Run {
			d.stop(r)
			return
		} else if other != nil {
			d.stop(other)
		}
		d.orphans[r.key.Task] = r
	}
}

// watchOrphan looks again at a run that no job claims. Entries hand their jobs in again within a few milliseconds of finding a
// leader, callers seconds later.
func (d *Dispatcher) watchOrphan(r *run) {
	wait := d.Settings.OrphanAfter
	if r.room == (specifier.Resources{}) {
		wait = d.Settings.BlockedAfter
	}
	r.lookAt = d.now.Add(wait)
	d.wake(r.lookAt, timer{run: r})
}

// lose ends a run without an end of its own: its worker or its lease is gone, or it never started.
func (d *Dispatcher) lose(r *run, how specifier.EndKind) {
	r.holder.remove(r)
	if d.orphans[r.key.Task] == r {
		delete(d.orphans, r.key.Task)
	}
	t := r.task
	if t == nil || t.run != r || t.state != taskPlaced {
		return
	}
	d.emit(LogEvent{Event: "TaskLost", Job: t.job.ID, Task: t.name, Run: r.key.Run, Agent: r.holder.name, Detail: how.String(), Age: d.now.Sub(r.began)})
	d.enqueue(t)
}

// acknowledge tells the agent which ends need not be listed again.
func (d *Dispatcher) acknowledge(h *holder) {
	if !h.settle() || h.worker == nil {
		return
	}
	order := d.orderTo(h)
	order.Noted, order.NotedBorn = h.noted, h.worker.Born
}

// task returns the task of that name in a job that has not ended, or nil.
func (d *Dispatcher) task(name string) *task {
	id, step, index, ok := splitTask(name)
	if !ok {
		return nil
	}
	j := d.jobs[id]
	if j == nil || j.ended || step >= len(j.tasks) || index >= len(j.tasks[step]) {
		return nil
	}
	return j.tasks[step][index]
}

// takenFor is the part of its estimate that a run took.
func takenFor(began, now time.Time, estimate time.Duration) float64 {
	if estimate <= 0 {
		return 1
	}
	return float64(now.Sub(began)) / float64(estimate)
}
