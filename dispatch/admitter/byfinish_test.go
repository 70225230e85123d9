package admitter

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func mustAdmit(t *testing.T, demand Demand, want, wantRetry bool) {
	t.Helper()
	ok, retryAfter := ByFinish{}.Admit(demand)
	must.Eq(t, want, ok)
	must.Eq(t, wantRetry, retryAfter > 0)
}

func TestByFinish(t *testing.T) {
	job := Demand{Slots: 30, Tasks: 8, Work: 4 * time.Second, Longest: time.Second, TimeLeft: 10 * time.Second}
	t.Run("a job that finds an empty queue is admitted", func(t *testing.T) { mustAdmit(t, job, true, false) })
	t.Run("a job behind a long queue is refused with a retry delay", func(t *testing.T) {
		// Guards against admitting a job that then waits past its deadline.
		job.QueuedWork = 10 * time.Minute
		mustAdmit(t, job, false, true)
	})
	t.Run("a job that exceeds its deadline by itself is refused without a retry delay", func(t *testing.T) {
		mustAdmit(t, Demand{Slots: 30, Longest: time.Minute, TimeLeft: 10 * time.Second}, false, false)
	})
	t.Run("a wide job that needs half of its time is admitted to an empty queue", func(t *testing.T) {
		mustAdmit(t, Demand{Slots: 30, Work: 120 * time.Second, Longest: time.Second, TimeLeft: 10 * time.Second}, true, false)
	})
	t.Run("a wide job that needs most of its time is refused", func(t *testing.T) {
		// Guards against wide jobs that narrowly miss their deadlines, so that the work of their tasks is wasted.
		mustAdmit(t, Demand{Slots: 30, Work: 160 * time.Second, Longest: time.Second, TimeLeft: 10 * time.Second}, false, true)
	})
}

func TestByQueue(t *testing.T) {
	ok, _ := ByQueue{MaxQueued: 10}.Admit(Demand{Queued: 5, Tasks: 5})
	must.True(t, ok)
	ok, _ = ByQueue{MaxQueued: 10}.Admit(Demand{Queued: 5, Tasks: 6})
	must.False(t, ok)
}
