package merger

import (
	"cmp"
	"slices"

	"oleandertally/core/recorder"
)

// Merge returns the events of all logs in causal order. Events that causality leaves unordered are sorted by their
// estimated time. An event that is in several logs appears once.
func Merge(logs []Log) Timeline {
	events := collect(logs)
	links := findLinks(events)
	s := &skewEstimator{processes: processes(events)}
	s.addExchanges(logs)
	s.addMessages(events, links)
	clocks, consistent := s.clocks()
	countEvents(clocks, logs, events)
	o := newOrder(align(events, clocks), links)
	entries, position := o.run()
	timeline := Timeline{Entries: entries, Clocks: clocks, Consistent: consistent, ViolatedLinks: o.violatedLinks}
	for _, l := range links {
		timeline.Links = append(timeline.Links, Link{From: position[l.From], To: position[l.To]})
	}
	return timeline
}

// collect returns the events of all logs, sorted by process and sequence number and without duplicates.
func collect(logs []Log) []recorder.Event {
	var events []recorder.Event
	for _, log := range logs {
		events = append(events, log.Events...)
	}
	slices.SortStableFunc(events, func(a, b recorder.Event) int {
		return cmp.Or(cmp.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	return slices.CompactFunc(events, isSame)
}

// isSame compares every field, so that no event is dropped when two incarnations share a process name.
func isSame(a, b recorder.Event) bool {
	same := a.At.Equal(b.At)
	a.At = b.At
	return same && a == b
}

// processes returns the names of the processes in sorted events.
func processes(events []recorder.Event) []string {
	var names []string
	for _, event := range events {
		if len(names) == 0 || names[len(names)-1] != event.Process {
			names = append(names, event.Process)
		}
	}
	return names
}

// countEvents sets Events and Dropped of each clock.
func countEvents(clocks []Clock, logs []Log, events []recorder.Event) {
	byName := make(map[string]*Clock)
	for i := range clocks {
		byName[clocks[i].Process] = &clocks[i]
	}
	for _, event := range events {
		byName[event.Process].Events++
	}
	for _, log := range logs {
		if len(log.Events) > 0 {
			clock := byName[log.Events[0].Process]
			clock.Dropped = max(clock.Dropped, log.Dropped)
		}
	}
}

// align returns the events with their estimated times. events and clocks are sorted by process.
func align(events []recorder.Event, clocks []Clock) []Entry {
	entries := make([]Entry, len(events))
	next := 0
	for i, event := range events {
		for clocks[next].Process != event.Process {
			next++
		}
		entries[i] = Entry{Event: event, Aligned: event.At.Add(-clocks[next].Skew)}
	}
	return entries
}
