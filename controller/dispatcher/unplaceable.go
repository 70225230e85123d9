package dispatcher

import (
	"slices"

	"oleandertally/core/specifier"
)

// unplaceableDetail is the reason in the log why tasks are set aside.
const unplaceableDetail = "no worker has the capacity or the label for one of its tasks"

// unplaceable reports whether no worker of the pool could hold a step even without other runs. It answers jobs that ask for more than any
// worker has: they wait apart, so that the work behind them is placed. Before a recovery has ended, a worker may not have been heard.
func (d *Dispatcher) unplaceable(p *pool, step *specifier.Step) bool {
	if len(p.agents) == 0 || !d.recoveryUntil.IsZero() {
		return false
	}
	return !slices.ContainsFunc(p.agents, func(a *agent) bool {
		return !a.leaving && !a.worker.Draining && step.Resources.Fits(a.worker.Capacity) && (step.Label == "" || slices.Contains(a.worker.Labels, step.Label))
	})
}

// setAside takes a task that no worker could hold out of the waiting work. A transient job waits until decideAt, since a worker that can hold it
// may join.
func (d *Dispatcher) setAside(t *task) {
	d.dequeue(t)
	if !t.pool.hasAside(t.job) {
		d.emit(LogEvent{Event: "WorkCannotRun", Job: t.job.ID, Queue: t.job.Queue, Task: t.name, Count: t.job.remaining, Detail: unplaceableDetail})
	}
	t.aside = true
	t.pool.aside = append(t.pool.aside, t)
}

// hasAside reports whether a task of the job is set aside.
func (p *pool) hasAside(j *job) bool {
	return slices.ContainsFunc(p.aside, func(t *task) bool { return t.job == j })
}

// requeueAside queues the tasks that were set aside, when the workers of the pool or its queues have changed.
func (d *Dispatcher) requeueAside(p *pool) {
	list := p.aside
	p.aside = nil
	for _, t := range list {
		t.aside = false
		if t.state == taskReady && !t.job.ended {
			d.enqueue(t)
		}
	}
}
