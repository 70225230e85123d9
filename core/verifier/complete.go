package verifier

import (
	"fmt"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

func (h *history) completeIsWhole(tasks int) []Violation {
	answers := h.answers(specifier.Complete)
	if len(answers) == 0 {
		return nil
	}
	var missing string
	seen, ended := make(map[string]bool), make(map[string]bool)
	for _, event := range h.ofKind(recorder.TaskEnded) {
		ended[event.Task] = true
	}
	for _, event := range h.events {
		if event.Task != "" && !seen[event.Task] && !ended[event.Task] {
			missing += fmt.Sprintf(" %q", event.Task)
		}
		seen[event.Task] = true
	}
	if missing == "" && len(ended) >= max(tasks, 1) {
		return nil
	}
	var found []Violation
	for _, answer := range answers {
		found = append(found, Violation{Rule: CompleteIsWhole, Event: answer,
			Detail: fmt.Sprintf("%d tasks ended, expected %d; not ended:%s", len(ended), max(tasks, len(seen)-1, 1), missing)})
	}
	return found
}
