package dispatcher

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
)

const (
	// maxMisses is the number of tasks without a fitting worker after which a placement stops.
	maxMisses = 24
	// latePenalty is added to the key of a task that can no longer end in time, to order it behind those that can.
	latePenalty = 10 * time.Second
	// A task should start early enough to leave a margin of its estimate divided by estimateMarginDivisor, plus startMargin for messages.
	// A task that would only just end in time mostly ends late, and delays a task that has time.
	estimateMarginDivisor = 4
	startMargin           = 12 * time.Millisecond
	// runTermFactor multiplies the term in the number of a run, so that a later leader's numbers are always higher.
	runTermFactor = 1 << 12
)

// key returns a task's place in the ready queue: the latest time at which the task should start, plus latePenalty when the task can
// no longer end in time.
func (d *Dispatcher) key(t *task) time.Time {
	estimate := t.job.Steps[t.step].Estimate
	start := t.job.due.Add(-estimate - estimate/estimateMarginDivisor - startMargin)
	if start.Before(d.now) && !(t.job.started && d.now.Before(t.job.due)) {
		return start.Add(latePenalty)
	}
	return start
}

// usable reports whether tasks may be started at the worker.
func (d *Dispatcher) usable(a *agent) bool {
	return a.stream != 0 && a.worker != nil && a.listed && a.settled && !a.leaving && !a.worker.Draining && !d.now.Before(a.noStartsUntil) &&
		d.now.Before(a.renewedAt.Add(d.Settings.GrantSpan/2)) && d.Recorder.Enrolled(a.name)
}

// place starts the tasks that fit, in the order of the ready queue.
func (d *Dispatcher) place() {
	if !d.recoveryUntil.IsZero() || len(d.ready.list) == 0 {
		return
	}
	d.usableAgents = d.usableAgents[:0]
	for _, a := range d.agentsByName {
		if d.usable(a) {
			d.usableAgents = append(d.usableAgents, a)
		}
	}
	var missed shortages
	misses := 0
	for at := 0; at < len(d.ready.list) && misses < maxMisses; {
		entry := d.ready.list[at]
		t := entry.task
		switch {
		case t.state != taskReady || t.job.ended || t.job.cancelled || t.job.Transient && len(t.job.waiters) == 0:
			d.ready.removeAt(at)
			d.waitingTasks--
			if t.state == taskReady && !t.job.ended && !t.job.cancelled {
				t.state = taskBlocked // until the job is resubmitted
			}
			continue
		case entry.key.Before(d.now) && d.key(t).After(d.now):
			d.ready.removeAt(at)
			d.ready.push(d.key(t), t)
			continue
		}
		var a *agent
		if !missed.covers(t) {
			a = d.choose(d.usableAgents, t)
		}
		if a == nil {
			missed.add(t)
			misses++
			at++
			continue
		}
		d.ready.removeAt(at)
		d.waitingTasks--
		d.start(a, t)
	}
}

// choose returns the worker on which the task should end first, or nil.
func (d *Dispatcher) choose(candidates []*agent, t *task) *agent {
	var best *agent
	var bestScore float64
	step := t.job.Steps[t.step]
	for _, a := range candidates {
		if a.worker.Pool != t.job.queue.Pool || !step.Resources.Fits(a.free()) || d.now.Before(a.health.ejectedUntil) || a.health.probing && len(a.runs) > 0 {
			continue
		}
		if step.Label != "" && !slices.Contains(a.worker.Labels, step.Label) || step.PerWorker > 0 && a.countRuns(t.job, t.step) >= step.PerWorker {
			continue
		}
		score := d.score(a, t, step)
		if best == nil || score < bestScore {
			best, bestScore = a, score
		}
	}
	return best
}

// score is lower for better workers: the expected run time over the estimate, and how full the worker is.
func (d *Dispatcher) score(a *agent, t *task, step specifier.Step) float64 {
	score := a.health.pace
	if score == 0 {
		score = 1
	}
	if step.DataRack != "" && !slices.Contains(a.worker.Labels, step.DataRack) {
		score *= 1.5
	}
	if t.avoid == a {
		score += 100
	}
	if a.worker.Capacity.MilliCores > 0 {
		score += 0.1 * float64(a.used.MilliCores) / float64(a.worker.Capacity.MilliCores)
	}
	return score
}

func (d *Dispatcher) start(a *agent, t *task) {
	t.startCount++
	r := &run{key: specifier.RunKey{Task: t.name, Run: d.term*runTermFactor + t.startCount}, agent: a, resources: t.job.Steps[t.step].Resources, task: t, startedAt: d.now}
	order := d.countedOrder(a)
	r.order = a.orderCount
	order.Starts = append(order.Starts, specifier.RunStart{Key: r.key, Content: t.job.Content, Checkpoint: t.checkpoint, Resources: r.resources})
	a.add(r)
	t.state, t.run = taskPlaced, r
	t.job.started = true
	d.emit(LogEvent{Event: "TaskStarted", Job: t.job.ID, Task: t.name, Run: r.key.Run, Agent: a.name, Age: d.now.Sub(t.job.arrived)})
	d.scheduleStallCheck(r)
}

// stop orders the agent to stop a run. The run's resources stay in use until its end is reported.
func (d *Dispatcher) stop(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	order := d.countedOrder(r.agent)
	order.Stops = append(order.Stops, r.key)
	d.emit(LogEvent{Event: "RunStopped", Task: r.key.Task, Run: r.key.Run, Agent: r.agent.name})
}

const (
	// A run is considered stalled after stallFactor times its estimate plus stallFloor.
	stallFactor = 12
	stallFloor  = 300 * time.Millisecond
)

// scheduleStallCheck schedules a check of a run for the time from which the run is considered stalled.
func (d *Dispatcher) scheduleStallCheck(r *run) {
	if r.task == nil {
		return
	}
	estimate := r.task.job.Steps[r.task.step].Estimate
	r.checkAt = d.now.Add(stallFactor*estimate + stallFloor)
	d.wake(r.checkAt, timer{run: r})
}

// expireRun stops a run that no job claims, or that is stalled.
func (d *Dispatcher) expireRun(r *run) {
	if r.agent.runs[r.key] != r || r.stopping || d.now.Before(r.checkAt) {
		return
	}
	if r.task == nil {
		d.stop(r) // a job can still claim it until its end is reported, since a second run must not start before
		return
	}
	if r.agent.health.eject(d.now) {
		d.emit(LogEvent{Event: "WorkerOut", Agent: r.agent.name, Task: r.key.Task, Run: r.key.Run, Detail: "a run stands still", Age: d.now.Sub(r.startedAt)})
	}
	r.task.avoid = r.agent
	d.stop(r)
}
