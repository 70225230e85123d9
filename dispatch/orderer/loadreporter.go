package orderer

import (
	"time"

	"oleandertally/core/specifier"
)

// LoadReporter decides when an agent sends its load to an entry outside a response. Each response contains the load, so
// only an entry without a recent response can have an outdated view of the agent. ID identifies an entry. The zero value
// is ready to use. A LoadReporter is not safe for concurrent use.
type LoadReporter[ID comparable] struct {
	entries    []lastReport[ID]
	unpaid     float64   // reports sent beyond the credit from ended tasks and elapsed time
	creditedAt time.Time // time up to which elapsed time has been credited
}

// lastReport is the load that was last sent to an entry.
type lastReport[ID comparable] struct {
	id   ID
	load specifier.Load
	at   time.Time
}

const (
	// reportsPerTask is the credit for each ended task. It keeps the total number of messages within 1.2 times the
	// minimum of two for each task.
	reportsPerTask = 0.35
	// reportsPerSecond is the credit for each second. It lets an agent that runs only long tasks, which rarely end,
	// report that it is full.
	reportsPerSecond = 0.25
	// quietDelay is the time without a message after which an entry that assumes several free slots is sent the load of
	// an agent that has none. An entry that sends work to the agent gets a response soon anyway, and the budget is better
	// used to report free slots that an entry does not know of.
	quietDelay = 500 * time.Millisecond
	// maxReportBurst limits a burst of reports after a time in which none were needed.
	maxReportBurst = 8
)

// Add adds an entry that has connected to the agent and was sent the load.
func (r *LoadReporter[ID]) Add(now time.Time, id ID, load specifier.Load) {
	r.Remove(id)
	r.entries = append(r.entries, lastReport[ID]{id: id, load: load, at: now})
}

// Remove removes an entry that has disconnected.
func (r *LoadReporter[ID]) Remove(id ID) {
	for i, each := range r.entries {
		if each.id == id {
			r.entries = append(r.entries[:i], r.entries[i+1:]...)
			return
		}
	}
}

// ReportSent records that a message with the load was sent to an entry.
func (r *LoadReporter[ID]) ReportSent(now time.Time, id ID, load specifier.Load) {
	for i := range r.entries {
		if r.entries[i].id == id {
			r.entries[i].load, r.entries[i].at = load, now
		}
	}
}

// TaskEnded adds the credit of one ended task.
func (r *LoadReporter[ID]) TaskEnded() { r.unpaid = max(r.unpaid-reportsPerTask, 0) }

// Due returns the entries to which the load must be sent now, as far as the budget allows, starting with the entry whose
// last report is oldest. The agent must send the reports, which are recorded as sent.
func (r *LoadReporter[ID]) Due(now time.Time, load specifier.Load) []ID {
	var due []ID
	r.unpaid = max(r.unpaid-reportsPerSecond*now.Sub(r.creditedAt).Seconds(), 0)
	r.creditedAt = now
	for r.unpaid <= maxReportBurst-1 {
		oldest := -1
		for i, each := range r.entries {
			if isOutdated(each.load, load, now.Sub(each.at) >= quietDelay) && (oldest < 0 || each.at.Before(r.entries[oldest].at)) {
				oldest = i
			}
		}
		if oldest < 0 {
			break
		}
		r.unpaid++
		r.entries[oldest].load, r.entries[oldest].at = load, now
		due = append(due, r.entries[oldest].id)
	}
	return due
}

// Next returns the earliest time at which Due returns an entry because quietDelay has passed, or the zero time.
func (r *LoadReporter[ID]) Next(load specifier.Load) time.Time {
	var next time.Time
	if r.unpaid > maxReportBurst-1 {
		return next
	}
	for _, each := range r.entries {
		if at := each.at.Add(quietDelay); isOutdated(each.load, load, true) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// isOutdated reports whether an entry that was last sent the known load has a wrong view of the agent: the entry assumes
// that no slot is free although some are, that some are free although tasks wait, or, if quiet, that several are free
// although none is.
func isOutdated(known, load specifier.Load, quiet bool) bool {
	free, assumed := load.Slots-load.Running-load.Queued, known.Slots-known.Running-known.Queued
	return free > 0 && assumed <= 0 || free < 0 && assumed > 0 || free == 0 && assumed > 1 && quiet
}
