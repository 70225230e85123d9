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

func (h *history) of(kind recorder.Kind) []recorder.Event {
	var found []recorder.Event
	for _, event := range h.events {
		if event.Kind == kind {
			found = append(found, event)
		}
	}
	return found
}

// answers returns the JobAnswered events with the given outcome. Answers about the request
// rather than the job are left out: a request that breaks a rule or reuses the key for another
// body never belonged to the job.
func (h *history) answers(outcome specifier.Outcome) []recorder.Event {
	var found []recorder.Event
	for _, event := range h.of(recorder.JobAnswered) {
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
