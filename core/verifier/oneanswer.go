package verifier

import "oleandertally/core/recorder"

// oneAnswer counts the submissions that wait at each entry. Every request is recorded as
// JobSubmitted, also one that is then attached.
func (h *history) oneAnswer() []Violation {
	var found []Violation
	waiting := make(map[string]int)
	for _, event := range h.events {
		switch event.Kind {
		case recorder.JobSubmitted:
			waiting[event.Process]++
		case recorder.JobAnswered:
			if waiting[event.Process] == 0 {
				found = append(found, Violation{Rule: OneAnswer, Event: event,
					Detail: "no submission waits for an answer at this entry"})
				continue
			}
			waiting[event.Process]--
		}
	}
	return found
}
