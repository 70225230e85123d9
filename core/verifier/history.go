package verifier

import (
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

// history is the events of one job, by process and sequence number.
type history struct {
	id     specifier.JobID
	events []recorder.Event
}

func (h *history) ofKind(kind recorder.Kind) []recorder.Event {
	var found []recorder.Event
	for _, event := range h.events {
		if event.Kind == kind {
			found = append(found, event)
		}
	}
	return found
}

// starts returns the TaskStarted events, except those of calls that never reached the upstream: the
// agent refuses such a task after it has recorded the start.
func (h *history) starts() []recorder.Event {
	var found []recorder.Event
	for i, event := range h.events {
		if event.Kind == recorder.TaskStarted && !h.refusedAfterStart(event, h.events[i+1:]) {
			found = append(found, event)
		}
	}
	return found
}

// refusedAfterStart reports whether the next event of the same task at the same process is a refusal.
func (h *history) refusedAfterStart(start recorder.Event, later []recorder.Event) bool {
	for _, event := range later {
		if event.Process == start.Process && event.Task == start.Task {
			return event.Kind == recorder.TaskRefused
		}
	}
	return false
}

// answers returns the JobAnswered events with the given outcome, except answers about the request
// rather than the job: a request that breaks a rule or reuses the key for another body never
// belonged to the job.
func (h *history) answers(outcome specifier.Outcome) []recorder.Event {
	var found []recorder.Event
	for _, event := range h.ofKind(recorder.JobAnswered) {
		answered := recorder.ParseAnswer(event.Detail)
		if answered.Outcome == outcome && !isAboutRequest(answered.Reason) {
			found = append(found, event)
		}
	}
	return found
}

func isAboutRequest(reason specifier.Reason) bool {
	switch reason {
	case specifier.Invalid, specifier.Unauthorized, specifier.KeyReused:
		return true
	}
	return false
}
