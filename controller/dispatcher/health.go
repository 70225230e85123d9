package dispatcher

import "time"

// health is a worker's speed and failures, derived from the ends of its runs.
type health struct {
	pace         float64       // measured run time over the estimate, smoothed; 0 until measured
	failures     int           // consecutive, of different jobs
	lastJob      string        // job of the last failure
	ejectedUntil time.Time     // no task is started before
	ejection     time.Duration // duration of the last ejection; 0 after a success
	probing      bool          // the worker gets one run at a time until one succeeds
}

const (
	// paceWeight is the weight of a new sample of the pace.
	paceWeight = 0.15
	// failuresToEject is how many different jobs must fail consecutively before a worker is ejected.
	failuresToEject = 2
	minEjection     = time.Second
	maxEjection     = 4 * time.Second
)

// expectedPace returns the pace, or 1 until it is measured.
func (h *health) expectedPace() float64 {
	if h.pace == 0 {
		return 1
	}
	return h.pace
}

// succeeded records a successful run with the ratio of its run time to its estimate.
func (h *health) succeeded(ratio float64) {
	if h.pace == 0 {
		h.pace = ratio
	}
	h.pace += paceWeight * (ratio - h.pace)
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
