package dispatcher

import (
	"fmt"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/admitter"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told to retry.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// shortageInterval is the least time between two log lines about refusals in a pool.
	shortageInterval = time.Second
	// listTime is how long agents take at most to list their runs to a new leader, unless they are unreachable.
	listTime = 150 * time.Millisecond
)

// refusal returns the refusal of a job that waits already for too long a queue, or that the admission policy refuses. No task of a
// refused job ever runs.
func (d *Dispatcher) refusal(j *job) (specifier.QueueReply, bool) {
	p := d.pool(j.queue.Pool)
	if reply, refused := d.strandedRefusal(p, j); refused {
		return reply, true
	}
	p.arrivals.Add(d.now, j.coreSeconds()*p.pace.Value())
	d.kind(j).Zones.Ask(d.now, j.zone, j.coreSeconds())
	if d.waitingTasks+j.TaskCount() > d.Settings.MaxWaiting {
		return specifier.QueueReply{Result: specifier.QueueRefused, RetryAfter: d.retryAfter(p), Detail: "too many tasks wait"}, true
	}
	if d.recordsFull(j) {
		return specifier.QueueReply{Result: specifier.QueueRefused, RetryAfter: d.retryAfter(p), Detail: "too many jobs are recorded"}, true
	}
	if !j.Transient || !d.recoveryUntil.IsZero() && !d.trusting || d.cores(p) == 0 {
		return specifier.QueueReply{}, false
	}
	if d.fitsNow(p, j) {
		return specifier.QueueReply{}, false
	}
	demand := d.demand(p, j)
	if admit, retryAfter := d.Settings.Admission.Admit(demand); !admit {
		d.logShortage(p, j, demand)
		return specifier.QueueReply{Result: specifier.QueueRefused, RetryAfter: boundRetry(retryAfter), Detail: "it would not end in time"}, true
	}
	return specifier.QueueReply{}, false
}

// logShortage logs from what figures a job is refused, at most once in shortageInterval for each pool.
func (d *Dispatcher) logShortage(p *pool, j *job, demand admitter.Demand) {
	if d.now.Before(p.shortageLogged.Add(shortageInterval)) {
		return
	}
	p.shortageLogged = d.now
	d.emit(LogEvent{Event: "CapacityShort", Job: j.ID, Queue: j.Queue, Count: d.waitingTasks, Age: d.now.Sub(j.arrived),
		Detail: fmt.Sprintf("pool %s: %.1f cores, %.1f in use, %.1f arriving, ratio %.2f; job: %.1f cores expected, %v before it, %v displaced, %v left, zone ahead by %.2f",
			p.name, demand.AllSlots, p.waiting.InUse(), demand.Arriving, p.pace.Value(), demand.Slots, demand.QueuedWork.Round(time.Millisecond),
			demand.Displaced.Round(time.Millisecond), demand.TimeLeft.Round(time.Millisecond), demand.Lead)})
}

// fitsNow reports whether the workers have room for all tasks of the job that do not wait for another step: a worker for a task of each
// step, and as many free cores as all of them need. A task that waits for the rack of its data has room at a worker away from it, if it
// would end in time there.
func (d *Dispatcher) fitsNow(p *pool, j *job) bool {
	free := d.cores(p) - p.waiting.InUse()
	for number, step := range j.Steps {
		if len(step.After) > 0 {
			continue
		}
		if free -= float64(step.Count*step.Resources.MilliCores) / 1000; free < 0 && step.Count > 1 {
			return false
		}
		if chosen := d.decide(p, j.tasks[number][0]); chosen.agent == nil && !chosen.away {
			return false
		}
	}
	return true
}

// demand describes a job and the load of its pool to the admission policy. The unit of work is a core for a time.
func (d *Dispatcher) demand(p *pool, j *job) admitter.Demand {
	kind, cores, pace := d.kind(j), d.cores(p), p.pace.Value()
	seconds := func(work float64) time.Duration { return time.Duration(work * pace * float64(time.Second)) }
	work := admitter.JudgedWork(j.coreSeconds(), j.TaskCount())
	slots, start := p.waiting.Share(kind, cores), j.due.Add(-withMargin(j.criticalPath))
	return admitter.Demand{
		QueuedWork: seconds(kind.Backlog.Before(d.now, start)), Displaced: seconds(kind.Backlog.Displaced(d.now, start, work, slots/pace)),
		Queued: kind.Count, Slots: slots, Tasks: j.TaskCount(), Work: seconds(work),
		Lead: kind.Zones.Lead(d.now, j.zone), Longest: j.criticalPath, TimeLeft: start.Sub(d.now) + j.criticalPath,
		UsefulFor: j.expiresAt.Sub(d.now), AllQueuedWork: seconds(p.waitingWork()), AllSlots: cores, Arriving: p.arrivals.Rate(d.now),
	}
}

// isHopeless reports whether a job that waits is not likely to start in time, and can't end while its answer is of use either.
func (d *Dispatcher) isHopeless(j *job) bool {
	if d.now.Add(j.criticalPath).After(j.expiresAt) {
		return true
	}
	p := d.pool(j.queue.Pool)
	if p.hasAside(j) {
		return true
	}
	if j.held && d.now.After(d.leadingSince.Add(listTime)) {
		return d.recoveryUntil.Sub(d.now)+j.criticalPath > j.expiresAt.Sub(d.now)
	}
	if !d.recoveryUntil.IsZero() || d.cores(p) == 0 {
		return false // it is not known when tasks can start again
	}
	if d.fitsNow(p, j) {
		return false // it waits for the rack of its data
	}
	demand := d.demand(p, j)
	own := time.Duration(j.waitingWork() * p.pace.Value() * float64(time.Second))
	demand.QueuedWork, demand.AllQueuedWork = max(demand.QueuedWork-own, 0), max(demand.AllQueuedWork-own, 0)
	return !admitter.MayStillEnd(demand)
}

// waitingWork returns the core-seconds of the job's waiting tasks.
func (j *job) waitingWork() float64 {
	total := 0.0
	j.eachTask(func(t *task) {
		if t.queuedAs != 0 {
			total += t.work
		}
	})
	return total
}

// retryAfter returns after what time the work that waits for a pool should be done beside the work that arrives, within bounds.
func (d *Dispatcher) retryAfter(p *pool) time.Duration {
	cores := d.cores(p)
	if cores == 0 {
		return time.Second
	}
	waiting := time.Duration(p.waitingWork() * p.pace.Value() * float64(time.Second))
	return boundRetry(admitter.TimeToDrain(waiting, cores, p.arrivals.Rate(d.now)))
}

func boundRetry(after time.Duration) time.Duration {
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// coreSeconds returns the work of a job by its estimates.
func (j *job) coreSeconds() float64 {
	total := 0.0
	for _, step := range j.Steps {
		total += float64(step.Count) * step.Estimate.Seconds() * float64(step.Resources.MilliCores) / 1000
	}
	return total
}
