package retrier

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

func newRetrier() *Retrier { return &Retrier{Random: rand.New(rand.NewPCG(1, 1))} }

func TestPlan(t *testing.T) {
	t.Run("a task that may have run is retried only if it is repeatable", func(t *testing.T) {
		// Guards against a task with side effects, such as a billing step, that runs twice after its worker is lost.
		_, ok := newRetrier().Plan(start, Attempt{Cause: Lost})
		must.False(t, ok)
		_, ok = newRetrier().Plan(start, Attempt{Cause: Lost, Repeatable: true})
		must.True(t, ok)
	})
	t.Run("retries of lost tasks are a share of first attempts", func(t *testing.T) {
		// Guards against a fault that multiplies the load: each lost task would cause a retry, which may be lost too.
		r, retries := newRetrier(), 0
		for range 1000 {
			r.RecordFirstAttempt("p", 0.1)
			if _, ok := r.Plan(start, Attempt{Profile: "p", Cause: Lost, Repeatable: true}); ok {
				retries++
			}
		}
		must.LessEq(t, 100+maxTokens, retries)
	})
	t.Run("no retry after the deadline", rapid.MakeCheck(func(t *rapid.T) {
		deadline := start.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "left")) * time.Millisecond)
		at, ok := newRetrier().Plan(start, Attempt{Count: rapid.IntRange(0, 20).Draw(t, "count"), Deadline: deadline})
		must.True(t, !ok || at.Before(deadline) && at.After(start))
	}))
}
