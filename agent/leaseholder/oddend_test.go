package leaseholder

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// Guards against one end with a number that is too large, after which no other end would count as new.
func TestEndWithANumberOutOfRange(t *testing.T) {
	f := newFixture(t)
	f.order(1)
	f.step(Started{Answer: f.answer(), Key: key(1)})
	f.now = f.now.Add(pollWait)
	f.step(PollResult{Answer: f.answer(), Token: 1 * tokenFactor, Completeness: ListComplete, Ends: []specifier.RunEnd{{Number: math.MaxUint64, Key: key(9), Kind: specifier.EndDone}},
		Runs: []specifier.LeasedRun{{Key: key(1)}}})
	f.step(PollResult{Answer: f.answer(), Token: 1 * tokenFactor, Completeness: ListComplete, Ends: []specifier.RunEnd{{Number: 1, Key: key(1), Kind: specifier.EndDone}}})
	reports := find[Report](f.actions)
	must.Positive(t, len(reports))
	must.Eq(t, []specifier.RunEnd{{Number: 1, Key: key(1), Kind: specifier.EndDone}}, reports[0].Report.Ends)
}
