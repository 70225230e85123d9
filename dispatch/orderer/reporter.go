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
	tokens  float64
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

// Told notes that a message with the load was sent to an entry.
func (r *Reporter[ID]) Told(now time.Time, id ID, load specifier.Load) {
	for i := range r.entries {
		if r.entries[i].id == id {
			r.entries[i].load, r.entries[i].at = load, now
		}
	}
}

// Ended notes that a task ended, which pays for a part of a report.
func (r *Reporter[ID]) Ended() { r.tokens = min(r.tokens+reportsPerTask, maxReports) }

// Due returns the entries to tell now, the one told longest ago first, as far as the budget goes. They count
// as told.
func (r *Reporter[ID]) Due(now time.Time, load specifier.Load) []ID {
	var due []ID
	for r.tokens >= 1 {
		oldest := -1
		for i, each := range r.entries {
			if misled(each.load, load) && (oldest < 0 || each.at.Before(r.entries[oldest].at)) {
				oldest = i
			}
		}
		if oldest < 0 {
			break
		}
		r.tokens--
		r.entries[oldest].load, r.entries[oldest].at = load, now
		due = append(due, r.entries[oldest].id)
	}
	return due
}

// misled reports whether an entry that was told one load takes the agent for full though it has free slots,
// or for free though tasks wait.
func misled(told, load specifier.Load) bool {
	free, believed := load.Slots-load.Running-load.Queued, told.Slots-told.Running-told.Queued
	return free > 0 && believed <= 0 || free < 0 && believed > 0
}
