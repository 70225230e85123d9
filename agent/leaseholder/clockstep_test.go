package leaseholder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// Guards against a worker that is not used any more, because the time of day of its host has stepped back between two starts, and against an
// earlier incarnation that is taken for a newer one.
func TestTimeOfDayOfTheWorkerSteps(t *testing.T) {
	restarted := func(t *testing.T, step time.Duration) *fixture { // the worker has started again, by a time of day that has stepped
		f := newFixture(t)
		f.order(1)
		f.step(Started{Answer: f.answer(), Key: key(1)})
		f.now = f.now.Add(pollWait)
		f.workerStart = f.workerStart.Add(step)
		return f
	}
	for name, step := range map[string]time.Duration{"back": -time.Minute, "forward": time.Minute} {
		t.Run(name+", and it announces itself", func(t *testing.T) {
			f := restarted(t, step)
			f.step(f.announcement())
			f.identifyWorker()
			must.MapNotContainsKey(t, f.holder.runs, key(1))
			f.mustStartAt("w")
		})
		t.Run(name+", and a poll shows it", func(t *testing.T) { // guards against work for an incarnation of another kind
			f := restarted(t, step)
			before := f.holder.workerToken()
			f.step(PollResult{Answer: f.answer(), Token: before, Completeness: ListComplete})
			must.MapNotContainsKey(t, f.holder.runs, key(1))
			must.Greater(t, before, f.holder.workerToken())
			f.orderNext()
			f.mustRefuse(specifier.EndRefusedLate)
			f.step(f.announcement())
			f.mustStartAt("w")
		})
		t.Run(name+", and an answer of the former incarnation is late", func(t *testing.T) {
			f := restarted(t, step)
			late := f.answer()
			late.CalledAt, late.StartedAt = f.now.Add(-time.Millisecond), f.workerStart.Add(-step)
			f.step(f.announcement())
			f.identifyWorker()
			token := f.holder.workerToken()
			f.step(PollResult{Answer: late, Token: token, Completeness: ListComplete, Runs: []specifier.LeasedRun{{Key: key(1)}}})
			must.Eq(t, token, f.holder.workerToken())
			must.MapNotContainsKey(t, f.holder.runs, key(1))
			f.mustStartAt("w")
		})
	}
}
