package recorder

import (
	"strings"

	"oleandertally/core/specifier"
)

// ParsedAnswer is the parsed Detail of a JobAnswered event.
type ParsedAnswer struct {
	Outcome specifier.Outcome
	Reason  specifier.Reason // empty when Complete
	Detail  string           // free text for operators
}

// FormatAnswer returns the Detail of a JobAnswered event: outcome, reason and the answer's detail.
func FormatAnswer(answer specifier.Answer) string {
	text := string(answer.Outcome)
	if answer.Reason != "" {
		text += " " + string(answer.Reason)
	}
	if answer.Detail != "" {
		text += ": " + answer.Detail
	}
	return text
}

// ParseAnswer parses a text that FormatAnswer returned.
func ParseAnswer(detail string) ParsedAnswer {
	head, note, _ := strings.Cut(detail, ": ")
	outcome, reason, _ := strings.Cut(head, " ")
	return ParsedAnswer{Outcome: specifier.Outcome(outcome), Reason: specifier.Reason(reason), Detail: note}
}
