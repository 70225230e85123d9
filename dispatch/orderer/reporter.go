package orderer

import (
	"time"

	"oleandertally/core/specifier"
)

// Reporter decides when an agent tells an entry its load though no answer is due. Each answer carries the
// load, so only entries that got none lately hold a view that is far off. ID names an entry. It is used by
// one goroutine; the zero value is ready.
type Reporter[ID comparable] struct {
	entries []told[ID]
	spent   float64   // reports that neither a task nor time has paid for
	paidAt  time.Time // until when time has paid
}

// told is the load that an entry was told last.
type told[ID comparable] struct {
	id   ID
	load specifier.Load
	at   time.Time
}

const (
	// reportsPerTask keeps all messages within 1.2 times the least of two for each task.
	reportsPerTask = 0.35
	// reportsPerSecond lets an agent that runs only long tasks, of which few end, tell that it is full.
	reportsPerSecond = 0.25
	// quietAfter is how long an entry must have heard nothing to be told that an agent is just full. One that
	// sends work to the agent hears soon anyway, and the budget is better spent on room that it does not know of.
	quietAfter = 500 * time.Millisecond
	// maxReports bounds a burst of reports after a time in which none were needed.
	maxReports = 8
)

// Add adds an entry that has linked to the agent and was told load.
func (r *Reporter[ID]) Add(now time.Time, id ID, load specifier.Load) {
	r.Remove(id)
	r.entries = append(r.entries, told[ID]{id: id, load: load, at: now})
}

// Remove drops an entry whose link ended.
func (r *Reporter[ID]) Remove(id ID) {
	for i, each := range r.entries {
		if each.id == id {
			r.entries = append(r.entries[:i], r.entries[i+1:]...)
			return
		}
	}
}

// ReportSent notes that a message with the load was sent to an entry.
func (r *Reporter[ID]) ReportSent(now time.Time, id ID, load specifier.Load) {
	for i := range r.entries {
		if r.entries[i].id == id {
			r.entries[i].load, r.entries[i].at = load, now
		}
	}
}

// TaskEnded notes that a task ended, which pays for a part of a report.
func (r *Reporter[ID]) TaskEnded() { r.spent = max(r.spent-reportsPerTask, 0) }

// Due returns the entries to tell now, the one told longest ago first, as far as the budget goes. They count
// as told.
func (r *Reporter[ID]) Due(now time.Time, load specifier.Load) []ID {
	var due []ID
	r.spent = max(r.spent-reportsPerSecond*now.Sub(r.paidAt).Seconds(), 0)
	r.paidAt = now
	for r.spent <= maxReports-1 {
		oldest := -1
		for i, each := range r.entries {
			if misled(each.load, load, now.Sub(each.at) >= quietAfter) && (oldest < 0 || each.at.Before(r.entries[oldest].at)) {
				oldest = i
			}
		}
		if oldest < 0 {
			break
		}
		r.spent++
		r.entries[oldest].load, r.entries[oldest].at = load, now
		due = append(due, r.entries[oldest].id)
	}
	return due
}

// Next returns when an entry will have heard nothing for so long that Due names it, or the zero time.
func (r *Reporter[ID]) Next(load specifier.Load) time.Time {
	var next time.Time
	if r.spent > maxReports-1 {
		return next
	}
	for _, each := range r.entries {
		if at := each.at.Add(quietAfter); misled(each.load, load, true) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// misled reports whether an entry that was told one load takes the agent for full though it has free slots,
// or for free though tasks wait or several more would.
func misled(told, load specifier.Load, quiet bool) bool {
	free, believed := load.Slots-load.Running-load.Queued, told.Slots-told.Running-told.Queued
	return free > 0 && believed <= 0 || free < 0 && believed > 0 || free == 0 && believed > 1 && quiet
}
