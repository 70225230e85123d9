package dispatcher

import "slices"

// shortages lists the tasks' resources that fitted at no worker during one placement. A task of the same pool that needs at least as
// much of everything does not fit either, and is not tried.
type shortages struct {
	list []shortage
}

// add adds the resources of a task that found no worker. A task that only some workers may run is left out, since the other
// workers were not tried.
func (s *shortages) add(t *task) {
	step := t.job.Steps[t.step]
	if step.Label == "" && step.PerWorker == 0 && !s.covers(t) {
		s.list = append(s.list, shortage{t.job.queue.Pool, step.Resources})
	}
}

func (s *shortages) covers(t *task) bool {
	return slices.ContainsFunc(s.list, func(missed shortage) bool {
		return missed.pool == t.job.queue.Pool && missed.resources.Fits(t.job.Steps[t.step].Resources)
	})
}
