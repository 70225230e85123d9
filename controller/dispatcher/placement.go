package dispatcher

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
)

const (
	// missesMost is how many tasks that fit nowhere are passed over in one placement.
	missesMost = 24
	// demoted moves a task behind those that can still end in time.
	demoted = 10 * time.Second
	// estimateMargin is the part of an estimate, as a divisor, and startMargin the time for messages, that are kept in reserve: a task that
	// would only just end in time mostly ends late, and holds back one that has time.
	estimateMargin = 4
	startMargin    = 12 * time.Millisecond
	// runTerm is the factor of the term in the number of a run: a later leader's runs are always higher.
	runTerm = 1 << 12
)

// key orders tasks by the latest time at which they should start. A task that can't end in time any more
// comes after all that can.
func (d *Dispatcher) key(t *task) time.Time {
	estimate := t.job.Steps[t.step].Estimate
	start := t.job.due.Add(-estimate - estimate/estimateMargin - startMargin)
	if start.Before(d.now) && !(t.job.started && d.now.Before(t.job.due)) {
		return start.Add(demoted)
	}
	return start
}

// usable reports whether tasks may be started at the worker.
func (d *Dispatcher) usable(h *holder) bool {
	return h.stream != 0 && h.worker != nil && h.listed && h.settled && !h.leaving && !h.worker.Draining && !d.now.Before(h.restUntil) &&
		d.now.Before(h.renewed.Add(d.Settings.GrantSpan/2)) && d.Recorder.Enrolled(h.name)
}

// place starts the tasks that fit, in order.
func (d *Dispatcher) place() {
	if !d.gather.IsZero() || len(d.ready.list) == 0 {
		return
	}
	d.usables = d.usables[:0]
	for _, h := range d.named {
		if d.usable(h) {
			d.usables = append(d.usables, h)
		}
	}
	var missed missedRooms
	misses := 0
	for at := 0; at < len(d.ready.list) && misses < missesMost; {
		entry := d.ready.list[at]
		t := entry.task
		switch {
		case t.state != taskReady || t.job.ended || t.job.cancelled || t.job.Transient && len(t.job.waiters) == 0:
			d.ready.removeAt(at)
			d.waiting--
			if t.state == taskReady && !t.job.ended && !t.job.cancelled {
				t.state = taskBlocked // a resubmission releases it again
			}
			continue
		case entry.key.Before(d.now) && d.key(t).After(d.now):
			d.ready.removeAt(at)
			d.ready.push(d.key(t), t)
			continue
		}
		var h *holder
		if !missed.covers(t) {
			h = d.choose(d.usables, t)
		}
		if h == nil {
			missed.note(t)
			misses++
			at++
			continue
		}
		d.ready.removeAt(at)
		d.waiting--
		d.start(h, t)
	}
}

// choose returns the worker on which the task should end first, or nil.
func (d *Dispatcher) choose(holders []*holder, t *task) *holder {
	var best *holder
	var bestScore float64
	step := t.job.Steps[t.step]
	for _, h := range holders {
		if h.worker.Pool != t.job.queue.Pool || !step.Resources.Fits(h.free()) || d.now.Before(h.health.outUntil) || h.health.probing && len(h.runs) > 0 {
			continue
		}
		if step.Label != "" && !slices.Contains(h.worker.Labels, step.Label) || step.PerWorker > 0 && h.count(t.job, t.step) >= step.PerWorker {
			continue
		}
		score := d.score(h, t, step)
		if best == nil || score < bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

// score is lower for better workers: the expected run time over the estimate, and how full the worker is.
func (d *Dispatcher) score(h *holder, t *task, step specifier.Step) float64 {
	score := h.health.pace
	if score == 0 {
		score = 1
	}
	if step.DataRack != "" && !slices.Contains(h.worker.Labels, step.DataRack) {
		score *= 1.5
	}
	if t.avoid == h {
		score += 100
	}
	if h.worker.Capacity.MilliCores > 0 {
		score += 0.1 * float64(h.used.MilliCores) / float64(h.worker.Capacity.MilliCores)
	}
	return score
}

func (d *Dispatcher) start(h *holder, t *task) {
	t.starts++
	r := &run{key: specifier.RunKey{Task: t.name, Run: d.term*runTerm + t.starts}, holder: h, room: t.job.Steps[t.step].Resources, task: t, began: d.now}
	order := d.command(h)
	r.order = h.orders
	order.Starts = append(order.Starts, specifier.RunStart{Key: r.key, Content: t.job.Content, Saved: t.saved, Resources: r.room})
	h.add(r)
	t.state, t.run = taskPlaced, r
	t.job.started = true
	d.emit(LogEvent{Event: "TaskStarted", Job: t.job.ID, Task: t.name, Run: r.key.Run, Agent: h.name, Age: d.now.Sub(t.job.arrived)})
	d.watch(r)
}

// stop takes a run off its worker. Its room stays in use until its end is listed.
func (d *Dispatcher) stop(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	order := d.command(r.holder)
	order.Stops = append(order.Stops, r.key)
	d.emit(LogEvent{Event: "RunStopped", Task: r.key.Task, Run: r.key.Run, Agent: r.holder.name})
}

const (
	// stuckFactor times its estimate, and stuckFloor more, is when a run is taken to stand still.
	stuckFactor = 12
	stuckFloor  = 300 * time.Millisecond
)

// watch looks at a run again when it should long have ended.
func (d *Dispatcher) watch(r *run) {
	if r.task == nil {
		return
	}
	estimate := r.task.job.Steps[r.task.step].Estimate
	r.lookAt = d.now.Add(stuckFactor*estimate + stuckFloor)
	d.wake(r.lookAt, timer{run: r})
}

// expireRun stops a run that no job claims, or that stands still.
func (d *Dispatcher) expireRun(r *run) {
	if r.holder.runs[r.key] != r || r.stopping || d.now.Before(r.lookAt) {
		return
	}
	if r.task == nil {
		d.stop(r) // it can still be claimed until its end is listed: a second run must not start before
		return
	}
	if r.holder.health.eject(d.now) {
		d.emit(LogEvent{Event: "WorkerOut", Agent: r.holder.name, Task: r.key.Task, Run: r.key.Run, Detail: "a run stands still", Age: d.now.Sub(r.began)})
	}
	r.task.avoid = r.holder
	d.stop(r)
}
