package leaseholder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// Guards against lists that overtake each other: an older one still has runs that have ended, and does not tell what the agent has to know
// under a newer token.
func TestListThatArrivesLate(t *testing.T) {
	const overlap = 10 * time.Millisecond
	// A poll is called before another one and answered after it, from the given reading of the worker's clock.
	late := func(f *fixture, clock time.Duration) PollResult {
		answer := f.answer()
		answer.CalledAt, answer.Clock = f.now.Add(-overlap), clock
		return PollResult{Answer: answer, Immediate: true, Token: f.holder.workerToken(), Completeness: ListComplete}
	}
	ended := func(t *testing.T) *fixture { // a run has ended, and the controller has recorded it
		f := newFixture(t)
		f.order(1)
		f.step(Started{Answer: f.answer(), Key: key(1)})
		f.now = f.now.Add(overlap)
		f.step(PollResult{Answer: f.answer(), Token: f.holder.workerToken(), Completeness: ListComplete, Ends: []specifier.RunEnd{{Number: 1, Key: key(1), Kind: specifier.EndDone}}})
		f.step(OrderReceived{specifier.LeaseOrder{Token: 1, AcknowledgedEnd: 1, AcknowledgedWorkerStart: f.workerStart}})
		must.True(t, f.holder.Idle())
		return f
	}
	for name, age := range map[string]time.Duration{"from an earlier reading of the clock": time.Millisecond, "from the same reading of the clock": 0} {
		t.Run(name, func(t *testing.T) {
			f := ended(t)
			result := late(f, f.now.Sub(f.workerStart)-age)
			result.Runs = []specifier.LeasedRun{{Key: key(1)}}
			f.step(result)
			must.True(t, f.holder.Idle())
		})
	}
	t.Run("from a later reading of the clock", func(t *testing.T) { // it is the newer one, though it was called first
		f := ended(t)
		result := late(f, f.now.Sub(f.workerStart)+time.Millisecond)
		result.Runs = []specifier.LeasedRun{{Key: key(2)}}
		f.step(result)
		must.MapContainsKey(t, f.holder.runs, key(2))
	})
	t.Run("under a new token", func(t *testing.T) { // its runs are not taken over, so it does not settle that all runs are known
		f := ended(t)
		f.holder.adoptToken(2)
		f.step(late(f, f.now.Sub(f.workerStart)-time.Millisecond))
		must.False(t, f.holder.allRunsKnown())
	})
}
