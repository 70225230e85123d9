package dispatcher

import (
	"fmt"
	"time"
)

// health is a worker's failures, derived from the ends of its runs.
type health struct {
	failures     int           // consecutive, of different jobs
	lastJob      string        // job of the last failure
	ejectedUntil time.Time     // no task is started before
	ejection     time.Duration // duration of the last ejection; 0 after a success
	probing      bool          // the worker gets one run at a time until one succeeds
}

const (
	// failuresToEject is how many different jobs must fail consecutively before a worker is ejected.
	failuresToEject = 2
	minEjection     = time.Second
	maxEjection     = 4 * time.Second
)

// pace returns the run time at an agent's worker in relation to that at the pool's typical worker.
func (d *Dispatcher) pace(a *agent) float64 {
	pace := a.pool.estimates.Pace(d.now, a.name)
	if d.now.Before(a.coldUntil) {
		pace *= a.pool.estimates.ColdPace()
	}
	return pace
}

// A worker is logged as slow from pace slowEvent on, and as usual again below usualEvent.
const (
	slowEvent  = 2
	usualEvent = 1.5
)

// updatePace updates the pace by which an agent's worker is chosen, and logs when the worker becomes slow or usual.
func (d *Dispatcher) updatePace(a *agent) {
	a.pace = d.pace(a)
	switch {
	case !a.slow && a.pace >= slowEvent:
		a.slow = true
		d.emit(LogEvent{Event: "WorkerSlow", Agent: a.name, Detail: fmt.Sprintf("runs take %.1f times as long as usual", a.pace)})
	case a.slow && a.pace < usualEvent:
		a.slow = false
		d.emit(LogEvent{Event: "WorkerUsual", Agent: a.name})
	}
}

// succeeded records a successful run.
func (h *health) succeeded() {
	h.failures, h.lastJob, h.ejection, h.probing = 0, "", 0, false
}

// failed records a failed run and reports whether the worker is ejected by it.
func (h *health) failed(job string, now time.Time) bool {
	if job == h.lastJob {
		return false
	}
	h.failures++
	h.lastJob = job
	if h.failures < failuresToEject && !h.probing {
		return false
	}
	return h.eject(now)
}

func (h *health) eject(now time.Time) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.ejectedUntil = now.Add(h.ejection)
	h.probing = true
	return true
}
