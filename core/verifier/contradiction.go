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

// contradict reports whether two answers contradict each other. If one of them is NotRun, it must be
// second. NotRun after acceptance contradicts an outcome of the same or an earlier epoch. NotRun before
// acceptance is checked by NotRunIsTrue.
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

// isUndecided reports whether a failure means only that this entry has no answer: another entry
// may complete the job, or may have completed it.
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
