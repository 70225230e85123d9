package ejector

import (
	"time"

	"oleandertally/core/specifier"
)

// Ejector decides which workers are ejected. The breaker is a type parameter. It is used by one goroutine;
// the zero value is ready.
type Ejector[B any, T Breaker[B]] struct {
	out    int // workers that are ejected or probing
	failed map[specifier.JobID]*Worker[B, T]
	recent []specifier.JobID // the keys of failed, oldest first
}

const (
	// maxShare is the largest share of the workers that are ejected at once. When more seem sick, the
	// cause is more likely common to all, and ejecting them only loses capacity.
	maxShare = 0.3
	// firstEjection doubles with each ejection in a row, up to maxEjection: each probe of a worker that
	// stays sick loses a task.
	firstEjection = 30 * time.Second
	maxEjection   = 10 * time.Minute
	// fullAllowance is what a returning worker must be allowed to count as healthy.
	fullAllowance = 8
	// maxFailed bounds the memory of failed jobs.
	maxFailed = 1024
)

// Record notes an outcome on a worker, one of workers. It reports whether the worker was ejected by it.
func (e *Ejector[B, T]) Record(now time.Time, worker *Worker[B, T], outcome Outcome, workers int) bool {
	if outcome.OK {
		e.succeeded(worker, outcome)
		return false
	}
	if e.poison(worker, outcome) || worker.state == Ejected {
		return false
	}
	if worker.state == Probing || worker.state == Returning {
		e.eject(now, worker)
		return true
	}
	// Tasks of one job that fail on one worker count once: the job may be the cause.
	if T(&worker.breaker).LastFailed() && worker.lastJob == outcome.Job {
		return false
	}
	if !T(&worker.breaker).LastFailed() {
		worker.jobs = 0
	}
	worker.failedAt, worker.lastJob = now, outcome.Job
	worker.jobs++
	if !T(&worker.breaker).Record(outcome.weight(), outcome.threshold()) {
		return false
	}
	if float64(e.out+1) > max(maxShare*float64(workers), 1) {
		return false
	}
	e.eject(now, worker)
	return true
}

// TaskSent notes that a worker was sent a task: after an ejection it is the probe.
func (e *Ejector[B, T]) TaskSent(worker *Worker[B, T]) {
	if worker.state == Ejected {
		worker.state = Probing
	}
}

// Remove notes that a worker is gone.
func (e *Ejector[B, T]) Remove(worker *Worker[B, T]) {
	if worker.state == Ejected || worker.state == Probing {
		e.out--
	}
}

func (e *Ejector[B, T]) succeeded(worker *Worker[B, T], outcome Outcome) {
	if outcome.Expected > 0 {
		worker.ran(float64(outcome.RunTime) / float64(outcome.Expected))
	}
	switch worker.state {
	case Healthy:
		// A task that was sent before the last failure says nothing about the worker since.
		if !T(&worker.breaker).LastFailed() || outcome.Sent.After(worker.failedAt) {
			T(&worker.breaker).Record(0, outcome.threshold())
		}
	case Probing:
		if outcome.Sent.After(worker.until) {
			e.out--
			worker.state, worker.allowed = Returning, 2
		}
	case Returning:
		if worker.allowed++; worker.allowed > fullAllowance {
			worker.state, worker.ejected = Healthy, 0
		}
	}
}

func (e *Ejector[B, T]) eject(now time.Time, worker *Worker[B, T]) {
	if worker.state != Probing {
		e.out++
	}
	worker.state = Ejected
	worker.until = now.Add(min(firstEjection<<min(worker.ejected, 10), maxEjection))
	worker.ejected++
	T(&worker.breaker).Reset()
}

// poison reports whether the failure says more about the job than about the worker: another worker that
// otherwise seems well has failed the job too. That worker is then cleared.
func (e *Ejector[B, T]) poison(worker *Worker[B, T], outcome Outcome) bool {
	other := e.failed[outcome.Job]
	if other == nil {
		e.remember(worker, outcome.Job)
		return false
	}
	if other == worker || other.state != Healthy {
		return false
	}
	if !T(&other.breaker).LastFailed() {
		return true
	}
	if other.lastJob != outcome.Job || other.jobs > 1 {
		return false
	}
	T(&other.breaker).Reset()
	return true
}

func (e *Ejector[B, T]) remember(worker *Worker[B, T], job specifier.JobID) {
	if e.failed == nil {
		e.failed = make(map[specifier.JobID]*Worker[B, T])
	}
	if len(e.recent) >= maxFailed {
		delete(e.failed, e.recent[0])
		e.recent = append(e.recent[:0], e.recent[1:]...)
	}
	e.failed[job] = worker
	e.recent = append(e.recent, job)
}
