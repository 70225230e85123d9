package verifier

import (
	"fmt"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

func (h *history) noContradiction() []Violation {
	var found []Violation
	answers := append(h.answers(specifier.Complete), h.answers(specifier.Failed)...)
	answers = append(answers, h.answers(specifier.NotRun)...)
	for i, first := range answers {
		for _, second := range answers[i+1:] {
			if contradict(first, second) {
				found = append(found, Violation{Rule: NoContradiction, Event: second, Others: []recorder.Event{first},
					Detail: fmt.Sprintf("answered %q, but %s answered %q", second.Detail, first.Process, first.Detail)})
			}
		}
	}
	return found
}

// contradict compares two answers, of which a NotRun answer comes second. NotRun after
// acceptance contradicts an outcome of the same or an earlier epoch; before acceptance,
// NotRunIsTrue decides.
func contradict(first, second recorder.Event) bool {
	a, b := recorder.ParseAnswer(first.Detail), recorder.ParseAnswer(second.Detail)
	if isUndecided(a) || isUndecided(b) {
		return false
	}
	if b.Outcome == specifier.NotRun {
		return a.Outcome != specifier.NotRun && second.Epoch > 0 && first.Epoch <= second.Epoch
	}
	return a.Outcome != b.Outcome || a.Reason != b.Reason
}

// isUndecided reports whether a failure says only that this entry has no answer: another entry
// may still complete the job, or may have.
func isUndecided(a recorder.ParsedAnswer) bool {
	if a.Outcome != specifier.Failed {
		return false
	}
	switch a.Reason {
	case specifier.StillRunning, specifier.Superseded, specifier.OwnerLost, specifier.ResultsLost, specifier.KeyExpired,
		specifier.Unavailable, specifier.Stopping, specifier.Overloaded:
		return true
	}
	return false
}
