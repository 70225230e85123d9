package registrar

import (
	"cmp"
	"strings"
	"time"

	"oleandertally/core/specifier"
)

// answer is a specifier.Answer without results. It is comparable, so that answers can be
// interned: most submissions share one of a few answers.
type answer struct {
	outcome    specifier.Outcome
	reason     specifier.Reason
	detail     string
	mayHaveRun bool
	retryAfter time.Duration
}

func newAnswer(a specifier.Answer) answer {
	return answer{outcome: a.Outcome, reason: a.Reason, detail: a.Detail, mayHaveRun: a.MayHaveRun, retryAfter: a.RetryAfter}
}

func (a answer) expand() specifier.Answer {
	return specifier.Answer{Outcome: a.outcome, Reason: a.reason, Detail: a.detail, MayHaveRun: a.mayHaveRun, RetryAfter: a.retryAfter}
}

// compare returns a negative, zero or positive number if a is less than, equal to or greater than b.
func (a answer) compare(b answer) int {
	return cmp.Or(cmp.Compare(a.outcome, b.outcome), cmp.Compare(a.reason, b.reason), strings.Compare(a.detail, b.detail),
		cmp.Compare(a.retryAfter, b.retryAfter), compareBool(a.mayHaveRun, b.mayHaveRun))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
