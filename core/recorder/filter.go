package recorder

import "oleandertally/core/specifier"

// Filter selects events. A field with the zero value does not restrict the selection.
type Filter struct {
	Job    specifier.JobID
	Worker string // name or identity of the event's process or of its peer
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
