package ejector

import (
	"time"

	"oleandertally/core/specifier"
)

// Ejector decides which workers are ejected. The breaker is a type parameter. The zero value is ready to use. An
// Ejector is not safe for concurrent use.
type Ejector[B any, T Breaker[B]] struct {
	ejected    int // number of workers that are ejected or probing
	failedOn   map[specifier.JobID]*Worker[B, T]
	failedJobs []specifier.JobID // the keys of failedOn, oldest first
}

const (
	// maxEjectedShare is the largest share of the workers that are ejected at the same time. When more seem unhealthy, the
	// cause is probably common to all workers, and ejecting them only loses capacity.
	maxEjectedShare = 0.3
	// firstEjection doubles with each consecutive ejection, up to maxEjection, because each probe of a worker that
	// is still unhealthy loses a task.
	firstEjection = 30 * time.Second
	maxEjection   = 10 * time.Minute
	// maxReturningTasks is the number of concurrent tasks beyond which a returning worker counts as healthy.
	maxReturningTasks = 8
	// maxFailedJobs limits the number of failed jobs that are kept in memory.
	maxFailedJobs = 1024
)

// Record adds the outcome of a task on a worker and reports whether this ejected the worker. The total number of
// workers limits how many are ejected at the same time.
func (e *Ejector[B, T]) Record(now time.Time, worker *Worker[B, T], outcome Outcome, workers int) bool {
	if outcome.OK {
		e.recordSuccess(worker, outcome)
		return false
	}
	if e.isPoison(worker, outcome) || worker.state == Ejected {
		return false
	}
	if worker.state == Probing || worker.state == Returning {
		e.eject(now, worker)
		return true
	}
	// Consecutive failures of the same job on one worker count once, because the job may be the cause.
	if T(&worker.breaker).LastFailed() && worker.lastFailedJob == outcome.Job {
		return false
	}
	if !T(&worker.breaker).LastFailed() {
		worker.failedJobs = 0
	}
	worker.failedAt, worker.lastFailedJob = now, outcome.Job
	worker.failedJobs++
	if !T(&worker.breaker).Record(outcome.weight(), outcome.threshold()) {
		return false
	}
	if float64(e.ejected+1) > max(maxEjectedShare*float64(workers), 1) {
		return false
	}
	e.eject(now, worker)
	return true
}

// TaskSent records that a task was sent to a worker. The first task after an ejection is the probe.
func (e *Ejector[B, T]) TaskSent(worker *Worker[B, T]) {
	if worker.state == Ejected {
		worker.state = Probing
	}
}

// Remove updates the counts for a worker that has departed.
func (e *Ejector[B, T]) Remove(worker *Worker[B, T]) {
	if worker.state == Ejected || worker.state == Probing {
		e.ejected--
	}
}

func (e *Ejector[B, T]) recordSuccess(worker *Worker[B, T], outcome Outcome) {
	if outcome.Expected > 0 {
		worker.recordRatio(float64(outcome.RunTime) / float64(outcome.Expected))
	}
	switch worker.state {
	case Healthy:
		// The success of a task that was sent before the last failure does not show that the worker has recovered.
		if !T(&worker.breaker).LastFailed() || outcome.Sent.After(worker.failedAt) {
			T(&worker.breaker).Record(0, outcome.threshold())
		}
	case Probing:
		if outcome.Sent.After(worker.ejectedUntil) {
			e.ejected--
			worker.state, worker.returningTasks = Returning, 2
		}
	case Returning:
		if worker.returningTasks++; worker.returningTasks > maxReturningTasks {
			worker.state, worker.ejections = Healthy, 0
		}
	}
}

func (e *Ejector[B, T]) eject(now time.Time, worker *Worker[B, T]) {
	if worker.state != Probing {
		e.ejected++
	}
	worker.state = Ejected
	worker.ejectedUntil = now.Add(min(firstEjection<<min(worker.ejections, 10), maxEjection))
	worker.ejections++
	T(&worker.breaker).Reset()
}

// isPoison reports whether the job, and not the worker, is the likely cause of the failure: the job has also failed on
// another worker that is otherwise healthy. The failures of that other worker are then discarded. A job without an
// earlier failure is recorded.
func (e *Ejector[B, T]) isPoison(worker *Worker[B, T], outcome Outcome) bool {
	other := e.failedOn[outcome.Job]
	if other == nil {
		e.recordFailedJob(worker, outcome.Job)
		return false
	}
	if other == worker || other.state != Healthy {
		return false
	}
	if !T(&other.breaker).LastFailed() {
		return true
	}
	if other.lastFailedJob != outcome.Job || other.failedJobs > 1 {
		return false
	}
	T(&other.breaker).Reset()
	return true
}

func (e *Ejector[B, T]) recordFailedJob(worker *Worker[B, T], job specifier.JobID) {
	if e.failedOn == nil {
		e.failedOn = make(map[specifier.JobID]*Worker[B, T])
	}
	if len(e.failedJobs) >= maxFailedJobs {
		delete(e.failedOn, e.failedJobs[0])
		e.failedJobs = append(e.failedJobs[:0], e.failedJobs[1:]...)
	}
	e.failedOn[job] = worker
	e.failedJobs = append(e.failedJobs, job)
}
