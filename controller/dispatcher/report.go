package dispatcher

import (
	"time"

	"oleandertally/core/specifier"
)

// handleReport handles a report of an agent. Ends and refusals are handled before the list of runs, because a run that is neither
// ended nor listed is lost.
func (d *Dispatcher) handleReport(event ReportReceived) {
	if !d.leading || event.Report.Agent == "" {
		return
	}
	report := event.Report
	a := d.attach(event.Stream, report)
	if a == nil {
		return
	}
	d.touch(a)
	a.settled, a.leaving = a.settled || report.AllRunsKnown && report.RunsComplete && report.Token == d.fence(a), report.Leaving
	a.endsCut, a.zone = report.EndsCut, report.Zone
	if report.Worker != nil {
		d.updateWorker(a, report.Worker)
	}
	d.noteStarts(a, report)
	a.selectEnds(report)
	if report.Renewal > 0 && d.Leading(d.now) && !d.announcementsLate() {
		a.renewedAt, a.grantUntil = d.now, d.now.Add(d.Settings.GrantSpan)
		order := d.orderTo(a)
		order.GrantedRenewal, order.RenewAfter = report.Renewal, d.renewAfter()
	}
	if report.RunsComplete || a.listed {
		// Before the first list of a term, a report may lack earlier ends, which acknowledging its ends would skip.
		for _, end := range report.Ends {
			d.handleEnd(a, end)
		}
	}
	for _, end := range report.RefusedStarts {
		d.startRefused(a, end)
	}
	if report.RunsComplete {
		d.reconcileRuns(a, report)
	}
	d.enroll(a)
	d.acknowledge(a)
	if report.RunsComplete && a.reportsAcknowledged(report.Ends) {
		d.orderAcknowledgement(a) // the last one was lost, or is still under way
	}
}

// enroll proposes to enroll an agent before the first task is started there, and to dismiss it when its worker leaves and runs no task
// any more. A new leader waits for the enrolled agents.
func (d *Dispatcher) enroll(a *agent) {
	if a.enrolling || !d.Leading(d.now) {
		return
	}
	wanted := a.worker != nil && !a.worker.Draining && !a.leaving
	switch enrolled := d.Recorder.Enrolled(a.name); {
	case wanted && !enrolled:
		a.enrolling = true
		d.propose(specifier.QueueCommand{Enroll: a.name})
	case !wanted && enrolled && a.listed && a.settled && len(a.runs) == 0 && d.recoveryUntil.IsZero():
		a.enrolling = true
		d.propose(specifier.QueueCommand{Dismiss: a.name})
	}
}

// attach returns the agent that reports on a stream, or nil for a stream that a later one has replaced.
func (d *Dispatcher) attach(stream Stream, report specifier.LeaseReport) *agent {
	a := d.agents[report.Agent]
	if a == nil {
		a = &agent{name: report.Agent, runs: make(map[specifier.RunKey]*run)}
		d.addAgent(a)
	}
	if a.stream == stream {
		return a
	}
	if stream < a.stream {
		return nil
	}
	delete(d.streams, a.stream)
	if a.incarnation != report.Incarnation {
		a.settled = false
		d.epochs[a.name]++
	}
	if a.renewedAt.IsZero() {
		d.wake(d.now.Add(d.Settings.GrantSpan+d.Settings.GrantMargin), timer{agent: a})
	}
	a.stream, a.incarnation, a.listed = stream, report.Incarnation, false
	for _, r := range a.runs {
		r.order, r.stopOrder = 0, 0 // an order on an earlier stream has either arrived or never will
	}
	d.streams[stream] = a
	d.emit(LogEvent{Event: "AgentAttached", Agent: a.name})
	return a
}

func (d *Dispatcher) agentDisconnected(stream Stream) {
	a := d.streams[stream]
	if a == nil {
		return
	}
	delete(d.streams, stream)
	a.stream, a.listed = 0, false
	d.touch(a)
	d.emit(LogEvent{Event: "AgentDetached", Agent: a.name, Age: d.now.Sub(a.renewedAt)})
}

// expireAgent removes an agent whose grant has ended, since nothing runs at its worker any more.
func (d *Dispatcher) expireAgent(a *agent) {
	if d.agents[a.name] != a {
		return
	}
	end := a.grantUntil.Add(d.Settings.GrantMargin)
	if d.now.Before(end) {
		d.wake(end, timer{agent: a})
		return
	}
	if d.now.Before(d.recoveryUntil) {
		d.wake(d.recoveryUntil.Add(d.Settings.GrantMargin), timer{agent: a})
		return
	}
	d.emit(LogEvent{Event: "AgentLost", Agent: a.name, Age: d.now.Sub(a.renewedAt), Count: len(a.runs)})
	for _, r := range a.sortedRuns() {
		d.loseRun(r, specifier.EndLeaseExpired)
	}
	d.removeAgent(a)
	d.surveyAt = d.now
	delete(d.streams, a.stream)
	if d.Recorder.Enrolled(a.name) {
		d.propose(specifier.QueueCommand{Dismiss: a.name})
	}
}

// reconcileRuns compares the runs that an agent listed with those that it was ordered to start.
func (d *Dispatcher) reconcileRuns(a *agent, report specifier.LeaseReport) {
	a.listed = true
	lastOrder := report.LastOrder
	if report.Token != d.fence(a) {
		lastOrder = 0 // the agent counted orders of an earlier leader, or of this one in an earlier term
	}
	listed := make(map[specifier.RunKey]bool, len(report.Runs))
	lostStops := 0
	for _, each := range report.Runs {
		listed[each.Key] = true
		known := a.runs[each.Key]
		if known == nil {
			d.addListedRun(a, each)
			continue
		}
		if known.task != nil && each.Checkpoint != "" {
			known.task.checkpoint = each.Checkpoint
		}
		if known.stopping && !each.Stopping && known.stopOrder <= lastOrder {
			// The order was lost with its stream, or arrived at an agent process that did not know the run yet or has ended since.
			d.orderStop(known)
			lostStops++
		}
	}
	if lostStops > 0 {
		d.emit(LogEvent{Event: "StopsRepeated", Agent: a.name, Count: lostStops})
	}
	for _, r := range a.sortedRuns() {
		if a.settled && !listed[r.key] && r.order <= lastOrder {
			d.loseRun(r, specifier.EndLeaseExpired)
		}
	}
}

// addListedRun adds a run that this leader did not start. A waiting task adopts it during recovery; otherwise it is stopped or kept
// as an orphan.
func (d *Dispatcher) addListedRun(a *agent, listed specifier.LeasedRun) {
	r := &run{key: listed.Key, agent: a, resources: listed.Resources, startedAt: d.now}
	t, recorded := d.task(listed.Key.Task), d.Recorder.Job(jobOf(listed.Key.Task)) != nil
	if r.resources == (specifier.Resources{}) && t != nil {
		r.resources = t.step().Resources
	}
	a.add(r)
	switch {
	case t != nil && (t.state == taskReady || t.state == taskBlocked) && !d.recoveryUntil.IsZero():
		d.adopt(t, r)
	case t != nil && t.run != nil && t.run.key.Run < r.key.Run && !d.recoveryUntil.IsZero():
		// An earlier leader had replaced the run that was adopted.
		d.replaceRun(t, r)
	case t != nil || recorded || d.recoveryUntil.IsZero():
		// The task is done, runs elsewhere or may be started elsewhere at any moment, or its job has ended.
		if other := d.orphans[r.key.Task]; t == nil && other == nil && !recorded {
			d.orphans[r.key.Task] = r
			d.scheduleOrphanCheck(r)
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

// replaceRun stops the present run of a task and adopts a newer one.
func (d *Dispatcher) replaceRun(t *task, newer *run) {
	former := t.run
	t.run, former.task = nil, nil
	d.stop(former)
	d.adopt(t, newer)
}

// scheduleOrphanCheck schedules the stop of a run that no job claims. Entries resubmit their jobs within a few milliseconds of finding
// a leader, callers seconds later.
func (d *Dispatcher) scheduleOrphanCheck(r *run) {
	wait := d.Settings.OrphanAfter
	if r.resources == (specifier.Resources{}) {
		wait = d.Settings.BlockedAfter
	}
	r.checkAt = d.now.Add(wait)
	d.wake(r.checkAt, timer{run: r})
}

// loseRun removes a run that reported no end, because its worker or its lease is lost or because it never started.
func (d *Dispatcher) loseRun(r *run, kind specifier.EndKind) {
	r.agent.remove(r)
	d.touch(r.agent)
	if d.orphans[r.key.Task] == r {
		delete(d.orphans, r.key.Task)
	}
	t := r.task
	if t == nil || t.run != r || t.state != taskPlaced {
		return
	}
	d.emit(LogEvent{Event: "TaskLost", Job: t.job.ID, Task: t.name, Run: r.key.Run, Agent: r.agent.name, Detail: kind.String(), Age: d.now.Sub(r.startedAt)})
	d.enqueue(t)
}

// acknowledge orders the agent not to report the recorded ends again.
func (d *Dispatcher) acknowledge(a *agent) {
	if a.advanceAcknowledged() {
		d.orderAcknowledgement(a)
	}
}

// orderAcknowledgement adds the acknowledgement of the recorded ends to the order to their agent.
func (d *Dispatcher) orderAcknowledgement(a *agent) {
	if a.endsOf.IsZero() {
		return
	}
	order := d.orderTo(a)
	order.AcknowledgedEnd, order.AcknowledgedWorkerStart = a.acknowledgedEnd, a.endsOf
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

// runTimeRatio returns a run's time divided by its estimate.
func runTimeRatio(startedAt, now time.Time, estimate time.Duration) float64 {
	if estimate <= 0 {
		return 1
	}
	return float64(now.Sub(startedAt)) / float64(estimate)
}
