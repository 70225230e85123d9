package recorder

import (
	"strings"

	"oleandertally/core/specifier"
)

// Answered is the content of the Detail of a JobAnswered event.
type Answered struct {
	Outcome specifier.Outcome
	Reason  specifier.Reason // empty when Complete
	Note    string           // for people
}

// AnswerDetail returns the Detail of a JobAnswered event: outcome, reason and the answer's detail.
func AnswerDetail(answer specifier.Answer) string {
	text := string(answer.Outcome)
	if answer.Reason != "" {
		text += " " + string(answer.Reason)
	}
	if answer.Detail != "" {
		text += ": " + answer.Detail
	}
	return text
}

// ParseAnswer reads what AnswerDetail wrote.
func ParseAnswer(detail string) Answered {
	head, note, _ := strings.Cut(detail, ": ")
	outcome, reason, _ := strings.Cut(head, " ")
	return Answered{Outcome: specifier.Outcome(outcome), Reason: specifier.Reason(reason), Note: note}
}
