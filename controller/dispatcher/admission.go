package dispatcher

import (
	"time"

	"oleandertally/core/specifier"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told to retry.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// refusal returns the refusal of a job while too many tasks wait. No task of a refused job ever runs.
func (d *Dispatcher) refusal(definition specifier.QueuedJob, queue specifier.Queue) (specifier.QueueReply, bool) {
	if d.waitingTasks+definition.TaskCount() > d.Settings.MaxWaiting {
		return specifier.QueueReply{Result: specifier.QueueRefused, RetryAfter: d.backlogTime(), Detail: "too many tasks wait"}, true
	}
	return specifier.QueueReply{}, false
}

// backlogTime estimates how long the usable workers need for the tasks in the ready queue.
func (d *Dispatcher) backlogTime() time.Duration {
	var work, cores float64
	for _, each := range d.ready.list {
		step := each.task.job.Steps[each.task.step]
		work += step.Estimate.Seconds() * float64(step.Resources.MilliCores)
	}
	for _, a := range d.agents {
		if d.usable(a) {
			cores += float64(a.worker.Capacity.MilliCores)
		}
	}
	if cores == 0 {
		return time.Second
	}
	return min(max(time.Duration(work/cores*float64(time.Second)), minRetryAfter), maxRetryAfter)
}
