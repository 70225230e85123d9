package merger

import (
	"slices"

	"oleandertally/core/recorder"
)

// Timeline is the events of many processes in causal order.
type Timeline struct {
	Entries []Entry
	Clocks  []Clock // sorted by process
	Links   []Link  // between Entries
	// Consistent is false when the links and the clocks contradict each other, because a clock was set during the span
	// or events are missing. The skews are then estimated only from the exchanges that fetched the logs.
	Consistent bool
	// ViolatedLinks counts the links that the order does not respect, because they form a cycle.
	ViolatedLinks int
}

// Events returns the events in order, with aligned times. verifier.Check expects this form.
func (t Timeline) Events() []recorder.Event {
	events := make([]recorder.Event, len(t.Entries))
	for i, entry := range t.Entries {
		events[i] = entry.Event
		events[i].At = entry.Aligned
	}
	return events
}

// Filter returns the entries that filter selects and the clocks of their processes. The span of the filter is on the
// reference clock.
func (t Timeline) Filter(filter recorder.Filter) Timeline {
	kept := Timeline{Consistent: t.Consistent, ViolatedLinks: t.ViolatedLinks}
	position := make([]int, len(t.Entries))
	used := make(map[string]bool)
	for i, entry := range t.Entries {
		event := entry.Event
		event.At = entry.Aligned
		position[i] = -1
		if filter.Matches(event) {
			position[i] = len(kept.Entries)
			kept.Entries = append(kept.Entries, entry)
			used[entry.Process] = true
		}
	}
	for _, l := range t.Links {
		if position[l.From] >= 0 && position[l.To] >= 0 {
			kept.Links = append(kept.Links, Link{From: position[l.From], To: position[l.To]})
		}
	}
	kept.Clocks = slices.DeleteFunc(slices.Clone(t.Clocks), func(c Clock) bool { return !used[c.Process] })
	return kept
}
