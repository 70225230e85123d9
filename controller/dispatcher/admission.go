package dispatcher

import (
	"time"

	"oleandertally/core/specifier"
)

const (
	// leastRetry is the shortest time after which a refused caller is asked to come back.
	leastRetry = 200 * time.Millisecond
	mostRetry  = 5 * time.Second
)

// refusal refuses a job that can't be started, or not in time. Nothing of a refused job ever runs.
func (d *Dispatcher) refusal(definition specifier.QueuedJob, queue specifier.Queue) (specifier.QueueReply, bool) {
	if d.waiting+definition.Tasks() > d.Settings.MaxWaiting {
		return specifier.QueueReply{Result: specifier.QueueRefused, RetryAfter: d.backlog(), Detail: "too many tasks wait"}, true
	}
	return specifier.QueueReply{}, false
}

// backlog returns how long the workers need for the tasks that wait.
func (d *Dispatcher) backlog() time.Duration {
	var work, cores float64
	for _, each := range d.ready.list {
		step := each.task.job.Steps[each.task.step]
		work += step.Estimate.Seconds() * float64(step.Resources.MilliCores)
	}
	for _, h := range d.holders {
		if d.usable(h) {
			cores += float64(h.worker.Capacity.MilliCores)
		}
	}
	if cores == 0 {
		return time.Second
	}
	return min(max(time.Duration(work/cores*float64(time.Second)), leastRetry), mostRetry)
}
