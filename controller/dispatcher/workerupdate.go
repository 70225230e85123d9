package dispatcher

import (
	"slices"

	"oleandertally/core/specifier"
)

// updateWorker stores a worker's description of itself. A new incarnation of a worker has no health yet.
func (d *Dispatcher) updateWorker(a *agent, worker *specifier.LeasedWorker) {
	if a.worker == nil || a.worker.ID != worker.ID || !a.worker.StartedAt.Equal(worker.StartedAt) {
		a.health = health{}
		if a.pool != nil {
			a.pool.estimates.Forget(a.name)
		}
		if a.worker != nil {
			a.settled = false // stays false until the agent has fenced off the orders to the former incarnation
		}
		d.emit(LogEvent{Event: "WorkerSeen", Agent: a.name, Detail: worker.ID})
	}
	if a.worker != nil && !a.worker.Draining && worker.Draining {
		d.emit(LogEvent{Event: "WorkerDraining", Agent: a.name, Detail: worker.ID})
		d.surveyAt = d.now
	}
	relabelled := a.worker == nil || a.pool == nil || a.pool.name != worker.Pool || !slices.Equal(a.worker.Labels, worker.Labels)
	changed := relabelled || a.worker.Capacity != worker.Capacity || a.worker.Draining != worker.Draining
	if relabelled {
		a.indexedFree = 0 // tasks that could not run there may now
	}
	a.worker, a.coldUntil = worker, d.now.Add(worker.ColdFor)
	d.joinPool(a, d.pool(worker.Pool))
	if relabelled {
		d.joinGroups(a)
	}
	if changed {
		d.requeueAside(a.pool)
	}
}
