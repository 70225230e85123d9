package recorder

import (
	"testing"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

func assertAnswered(t *testing.T, answer specifier.Answer) {
	t.Helper()
	want := ParsedAnswer{Outcome: answer.Outcome, Reason: answer.Reason, Detail: answer.Detail}
	must.Eq(t, want, ParseAnswer(FormatAnswer(answer)))
}

// Guards against a ParseAnswer that does not read the format that FormatAnswer writes.
func TestAnswerDetailRoundTrip(t *testing.T) {
	t.Run("complete", func(t *testing.T) { assertAnswered(t, specifier.Answer{Outcome: specifier.Complete}) })
	t.Run("reason", func(t *testing.T) { assertAnswered(t, specifier.Refuse(specifier.NoWorker, "")) })
	t.Run("note", func(t *testing.T) { assertAnswered(t, specifier.Refuse(specifier.Overloaded, "queue: 10,000 tasks")) })
}
