package verifier

import "oleandertally/core/recorder"

// oneAnswer counts the submissions that wait at each entry. JobAttached without an owner is a
// submission: the caller joined a job that this entry owns. JobAttached with an owner is the
// decision on a submission that has its own event.
func (h *history) oneAnswer() []Violation {
	var found []Violation
	waiting := make(map[string]int)
	for _, event := range h.events {
		switch {
		case event.Kind == recorder.JobSubmitted, event.Kind == recorder.JobAttached && event.Other == "":
			waiting[event.Process]++
		case event.Kind == recorder.JobAnswered:
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
