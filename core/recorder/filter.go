package recorder

import "oleandertally/core/specifier"

// Filter selects events. The zero value of a field selects all.
type Filter struct {
	Job    specifier.JobID
	Worker string // the process of the event, or its peer, by name or identity
	Span   Span   // on the clock of each event's process
}

// Matches reports whether the filter selects event.
func (f Filter) Matches(event Event) bool {
	if f.Job != (specifier.JobID{}) && event.Job != f.Job {
		return false
	}
	return f.matchesWorker(event) && f.Span.Contains(event.At)
}

func (f Filter) matchesWorker(event Event) bool {
	return f.Worker == "" || RefersTo(f.Worker, event.Process) || RefersTo(f.Worker, event.Other)
}
