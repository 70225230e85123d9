package verifier

import (
	"fmt"

	"oleandertally/core/recorder"
)

func (h *history) startOnce(repeatable bool, losses losses) []Violation {
	var found []Violation
	earlier := make(map[string][]recorder.Event)
	for _, start := range h.starts() {
		for _, other := range earlier[start.Task] {
			if repeatable && h.isRepeat(start, other, losses) {
				continue
			}
			found = append(found, Violation{Rule: StartOnce, Event: start, Others: []recorder.Event{other},
				Detail: fmt.Sprintf("also started at %s #%d under epoch %d", other.Process, other.Sequence, other.Epoch)})
		}
		earlier[start.Task] = append(earlier[start.Task], start)
	}
	return found
}

// isRepeat reports whether one of two starts was sent after the agent of the other was known to be Down.
func (h *history) isRepeat(a, b recorder.Event, losses losses) bool {
	if a.Process == b.Process {
		return false
	}
	return losses.knownBefore(a.Process, h.assignment(b)) || losses.knownBefore(b.Process, h.assignment(a))
}

// assignment returns the latest TaskAssigned that can have led to start, or nil.
func (h *history) assignment(start recorder.Event) *recorder.Event {
	var latest *recorder.Event
	for i := range h.events {
		event := &h.events[i]
		if event.Kind == recorder.TaskAssigned && event.Task == start.Task && event.Epoch == start.Epoch &&
			recorder.RefersTo(event.Other, start.Process) {
			latest = event
		}
	}
	return latest
}
