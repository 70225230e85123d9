package verifier

import "oleandertally/core/recorder"

// oneAnswer counts the submissions that wait at each entry. JobAttached is a submission of its
// own when it names no other owner: the caller joined a job that this entry has. With an owner,
// it is the decision on a submission that is recorded already.
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
