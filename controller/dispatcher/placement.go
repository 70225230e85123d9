package dispatcher

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/sharer"
)

const (
	// maxTries is the number of tasks of a kind without a worker after which a placement leaves the kind.
	maxTries = 3
	// maxLooked bounds the waiting tasks of a kind that a placement looks at.
	maxLooked = 96
	// runTermFactor multiplies the term in the number of a run, so that a later leader's numbers are always higher.
	runTermFactor = 1 << 12
)

// silent reports whether an agent has not reported for a while.
func (d *Dispatcher) silent(a *agent) bool {
	return a.stream == 0 || !d.now.Before(a.renewedAt.Add(max(d.Settings.StaleAfter, staleRenewals*d.renewAfter())))
}

// usable reports whether tasks may be started at the worker.
func (d *Dispatcher) usable(a *agent) bool {
	return a.stream != 0 && a.worker != nil && a.listed && a.settled && !a.leaving && !a.worker.Draining && !d.now.Before(a.noStartsUntil) &&
		!d.silent(a) && d.Recorder.Enrolled(a.name) && !d.zoneClosed(a)
}

// available reports whether the next task may be started at the worker.
func (d *Dispatcher) available(a *agent) bool {
	return d.usable(a) && !d.now.Before(a.health.ejectedUntil) && !(a.health.probing && len(a.runs) > 0)
}

// touch makes the next placement look at an agent that has changed.
func (d *Dispatcher) touch(a *agent) {
	if !a.touched {
		a.touched = true
		d.touched = append(d.touched, a)
	}
}

// reindex updates the place of an agent among the workers of its pool.
func (d *Dispatcher) reindex(a *agent) {
	switch {
	case a.pool == nil:
	case d.agents[a.name] != a || !d.available(a):
		a.pool.unindex(a)
	default:
		d.updatePace(a)
		if free := a.free().MilliCores; free != a.indexedFree {
			a.pool.changed = a.pool.changed || free > a.indexedFree
			a.indexedFree = free
		}
		a.pool.workers.Set(&a.place, a.pace, a.free().MilliCores, a.worker.Capacity.MilliCores)
		for _, each := range a.memberships {
			each.reindex(a)
		}
	}
}

// place starts the tasks that fit.
func (d *Dispatcher) place() {
	for _, a := range d.touched {
		a.touched = false
		d.reindex(a)
	}
	d.touched = d.touched[:0]
	if !d.recoveryUntil.IsZero() && !d.trusting || d.waitingTasks == 0 || d.announcementsLate() {
		return
	}
	for _, p := range d.poolList {
		if p.changed {
			p.changed = false
			d.placePool(p)
		}
	}
}

// placePool starts the tasks of a pool that fit, one kind after the other as their parts of the capacity demand.
func (d *Dispatcher) placePool(p *pool) {
	p.blocked = p.blocked[:0]
	p.placements++
	skip := func(kind *sharer.Kind[readyTask]) bool { return slices.Contains(p.blocked, kind) }
	for kind := p.waiting.Next(skip); kind != nil; kind = p.waiting.Next(skip) {
		if !d.placeKind(p, kind) {
			p.blocked = append(p.blocked, kind)
		}
	}
}

// placeKind starts a task of a kind for which there is a worker, and reports whether there is one. If there is no room for the first
// task, a later one that needs less may start.
func (d *Dispatcher) placeKind(p *pool, kind *sharer.Kind[readyTask]) bool {
	t, ok := d.first(kind)
	for tries := 0; ok && tries < maxTries; tries++ {
		chosen := d.decide(p, t)
		if chosen.agent != nil {
			d.dequeue(t)
			d.start(chosen.agent, t)
			return true
		}
		if d.unplaceable(p, t.step()) {
			d.setAside(t)
			t, ok = d.first(kind)
			tries--
			continue
		}
		d.review(p, chosen.reviewAt)
		if chosen.queued && t.rack != nil {
			t.rack.passedAt = p.placements
		}
		t, ok = smaller(p, kind, t, chosen.faster)
	}
	return false
}

// review makes a placement look at the tasks of a pool at a time, when one of them that waits for a better worker no longer should.
func (d *Dispatcher) review(p *pool, at time.Time) {
	if at.IsZero() || !at.After(d.now) || p.reviewAt.After(d.now) && !at.Before(p.reviewAt) {
		return
	}
	p.reviewAt = at
	d.wake(at, timer{review: p})
}

// smaller returns the first of the tasks of a kind that may fit although the given one does not: it needs less of a resource, only some
// workers may run one of them, or the given one needs a faster worker than those that have room.
func smaller(p *pool, kind *sharer.Kind[readyTask], missed *task, faster bool) (*task, bool) {
	missed.passedAt = p.placements
	room, best, step := p.workers.Room(), readyTask{}, missed.step()
	kind.Scan(maxLooked, func(entry readyTask) {
		if !entry.valid() || entry.task.passedAt == p.placements || entry.task.rack.passed(p) || best.task != nil && readyBefore(best, entry) {
			return
		}
		need := entry.task.step()
		if need.Resources.MilliCores > room || step.Resources.Fits(need.Resources) && !step.Constrained() && !faster {
			return
		}
		best = entry
	})
	return best.task, best.task != nil
}

// start starts a task at an agent.
func (d *Dispatcher) start(a *agent, t *task) {
	t.startCount++
	r := &run{key: specifier.RunKey{Task: t.name, Run: d.term*runTermFactor + t.startCount}, agent: a, resources: t.step().Resources, task: t, startedAt: d.now,
		cost: d.cost(a, a.pool.rackOf(t.step())), cold: d.now.Before(a.coldUntil)}
	r.expectedEnd = d.now.Add(d.runTime(a, t.step(), r.cost))
	order := d.countedOrder(a)
	r.order = a.orderCount
	order.Starts = append(order.Starts, specifier.RunStart{Key: r.key, Content: t.job.Content, Checkpoint: t.checkpoint, Resources: r.resources})
	a.add(r)
	r.count(t.kind)
	t.state, t.run = taskPlaced, r
	t.job.started, t.job.lastAgent = true, a
	d.reindex(a)
	detail := ""
	if r.cost > 1 {
		detail = "away from its data"
	}
	d.emit(LogEvent{Event: "TaskStarted", Job: t.job.ID, Task: t.name, Run: r.key.Run, Agent: a.name, Age: d.now.Sub(t.job.arrived), Detail: detail})
	d.scheduleStallCheck(r)
}

// stop orders the agent to stop a run. The run's resources stay in use until its end is reported.
func (d *Dispatcher) stop(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	d.orderStop(r)
	d.emit(LogEvent{Event: "RunStopped", Task: r.key.Task, Run: r.key.Run, Agent: r.agent.name})
}

// orderStop adds the stop of a run to the order to its agent.
func (d *Dispatcher) orderStop(r *run) {
	order := d.countedOrder(r.agent)
	order.Stops = append(order.Stops, r.key)
	r.stopOrder = r.agent.orderCount
}

const (
	// A run is considered stalled after stallFactor times its estimate plus stallFloor.
	stallFactor = 12
	stallFloor  = 300 * time.Millisecond
	// A run that takes longer than overdueFactor times the prediction plus overdueFloor tells that its worker is slow before it ends. One
	// in twenty takes as long at a healthy worker.
	overdueFactor = 2.5
	overdueFloor  = 30 * time.Millisecond
)

// scheduleStallCheck schedules a check of a run for the time from which the run is considered stalled.
func (d *Dispatcher) scheduleStallCheck(r *run) {
	if r.task == nil {
		return
	}
	estimate := r.task.step().Estimate
	r.checkAt = d.now.Add(stallFactor*estimate + stallFloor)
	if !r.expectedEnd.IsZero() {
		r.overdueAt = d.now.Add(time.Duration(overdueFactor*float64(r.expectedEnd.Sub(d.now))) + overdueFloor)
		if r.overdueAt.Before(r.checkAt) {
			d.wake(r.overdueAt, timer{run: r}) // which schedules the check
			return
		}
	}
	d.wake(r.checkAt, timer{run: r})
}

// expireRun stops a run that no job claims, or that is stalled.
func (d *Dispatcher) expireRun(r *run) {
	if r.agent.runs[r.key] != r || r.stopping {
		return
	}
	d.checkOverdue(r)
	if d.now.Before(r.checkAt) {
		return
	}
	if r.task == nil {
		d.stop(r) // a job can still claim it until its end is reported, since a second run must not start before
		return
	}
	if d.silent(r.agent) {
		// The run may have ended. The agent reports the end when it is heard again, or is lost when its grant ends.
		r.checkAt = d.now.Add(d.Settings.StaleAfter)
		d.wake(r.checkAt, timer{run: r})
		return
	}
	if d.eject(r.agent) {
		d.emit(LogEvent{Event: "WorkerOut", Agent: r.agent.name, Task: r.key.Task, Run: r.key.Run, Detail: "a run stands still", Age: d.now.Sub(r.startedAt)})
	}
	r.task.avoid = r.agent
	d.stop(r)
}

// checkOverdue learns from a run that takes longer than expected. The end of a run at a silent agent may be under way.
func (d *Dispatcher) checkOverdue(r *run) {
	if r.overdueAt.IsZero() || d.now.Before(r.overdueAt) {
		return
	}
	r.overdueAt = time.Time{}
	d.wake(r.checkAt, timer{run: r})
	if r.task == nil || r.agent.pool == nil || d.silent(r.agent) {
		return
	}
	r.agent.pool.estimates.Overdue(d.now, r.sample(r.task, d.now))
	d.touch(r.agent)
}

// eject ejects a worker and reports whether it was not ejected before.
func (d *Dispatcher) eject(a *agent) bool {
	if !a.health.eject(d.now) {
		return false
	}
	d.ejected(a)
	return true
}

// ejected schedules the return of an ejected worker.
func (d *Dispatcher) ejected(a *agent) {
	d.touch(a)
	d.wake(a.health.ejectedUntil, timer{returning: a})
}
