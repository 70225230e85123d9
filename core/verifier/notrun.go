package verifier

import (
	"fmt"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

func (h *history) notRunIsTrue() []Violation {
	var found []Violation
	starts := h.starts()
	for _, answer := range h.answers(specifier.NotRun) {
		for _, start := range starts {
			if h.resubmitted(answer, start) {
				continue
			}
			found = append(found, Violation{Rule: NotRunIsTrue, Event: answer, Others: []recorder.Event{start},
				Detail: fmt.Sprintf("answered %q, but %s started task %q under epoch %d",
					answer.Detail, start.Process, start.Task, start.Epoch)})
			break
		}
	}
	return found
}

// resubmitted reports whether start belongs to a later submission than the refused one. A
// refusal after acceptance released its epoch, so a higher epoch belongs to a later submission. A
// refusal before acceptance has epoch 0: the start must come from a submission that arrived after it.
func (h *history) resubmitted(answer, start recorder.Event) bool {
	if answer.Epoch > 0 {
		return start.Epoch > answer.Epoch
	}
	for _, own := range h.ownerRefusals(answer) {
		if start.Epoch > own.Epoch {
			return true
		}
	}
	for _, owned := range h.events {
		if owned.Kind != recorder.JobAccepted && owned.Kind != recorder.JobTaken || owned.Epoch != start.Epoch {
			continue
		}
		if h.submittedBetween(answer, owned) {
			return true
		}
	}
	return false
}

// ownerRefusals returns the owner's refusals that answer may have forwarded to an attached caller.
// A forwarded refusal belongs to the epoch that the owner released.
func (h *history) ownerRefusals(answer recorder.Event) []recorder.Event {
	var own []recorder.Event
	for _, attached := range h.ofKind(recorder.JobAttached) {
		if attached.Process != answer.Process || attached.Sequence > answer.Sequence || attached.Other == "" {
			continue
		}
		for _, event := range h.answers(specifier.NotRun) {
			if event.Epoch > 0 && event.Detail == answer.Detail && recorder.RefersTo(attached.Other, event.Process) {
				own = append(own, event)
			}
		}
	}
	return own
}

// submittedBetween reports whether a submission arrived at the entry of owned after answer and
// before owned.
func (h *history) submittedBetween(answer, owned recorder.Event) bool {
	for _, event := range h.ofKind(recorder.JobSubmitted) {
		if event.Process != owned.Process || event.Sequence > owned.Sequence {
			continue
		}
		if event.Process == answer.Process && event.Sequence > answer.Sequence ||
			event.Process != answer.Process && event.At.After(answer.At) {
			return true
		}
	}
	return false
}
