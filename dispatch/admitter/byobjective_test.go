package admitter

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func mustAdmitByObjective(t *testing.T, demand Demand, want bool) {
	t.Helper()
	ok, retryAfter := ByObjective{}.Admit(demand)
	must.Eq(t, want, ok)
	must.Eq(t, !want, retryAfter > 0)
}

func TestByObjective(t *testing.T) {
	// The kind can expect 10 of 30 slots. The job needs 0.2 s and has an objective of 0.4 s; an answer is of use for 1.2 s.
	job := Demand{Slots: 10, AllSlots: 30, Work: 400 * time.Millisecond, Longest: 200 * time.Millisecond,
		TimeLeft: 400 * time.Millisecond, UsefulFor: 1200 * time.Millisecond}
	t.Run("a job that nothing waits before is admitted", func(t *testing.T) {
		// Guards against a refusal with workers free, also when the objective is shorter than the run time.
		short := job
		short.TimeLeft = 100 * time.Millisecond
		mustAdmitByObjective(t, short, true)
	})
	t.Run("a job behind a short queue is admitted", func(t *testing.T) {
		behind := job
		behind.QueuedWork, behind.Arriving = time.Second, 40
		mustAdmitByObjective(t, behind, true)
	})
	t.Run("a job that would be late is refused while as much work arrives as the slots can do", func(t *testing.T) {
		behind := job
		behind.QueuedWork, behind.AllQueuedWork, behind.Arriving = 3*time.Second, 3*time.Second, 30
		mustAdmitByObjective(t, behind, false)
	})
	t.Run("a job that would be late is admitted after a burst", func(t *testing.T) {
		behind := job
		behind.QueuedWork, behind.AllQueuedWork, behind.Arriving = 3*time.Second, 3*time.Second, 15
		mustAdmitByObjective(t, behind, true)
	})
	t.Run("a job that would end when its answer is of no use is refused", func(t *testing.T) {
		behind := job
		behind.QueuedWork, behind.AllQueuedWork, behind.Arriving = 30*time.Second, 30*time.Second, 15
		mustAdmitByObjective(t, behind, false)
	})
	t.Run("a job that would delay admitted jobs beyond their objectives is refused", func(t *testing.T) {
		// Guards against short jobs that overtake, so that jobs that were told nothing are refused late.
		before := job
		before.QueuedWork, before.AllQueuedWork, before.Displaced, before.Arriving = time.Millisecond, 3*time.Second, 100*time.Millisecond, 30
		mustAdmitByObjective(t, before, false)
	})
	t.Run("a job of a zone that gets more than another may wait less", func(t *testing.T) {
		// Guards against a zone of callers that falls far below the others.
		behind := job
		behind.QueuedWork, behind.Arriving, behind.AllQueuedWork, behind.Lead = time.Second, 40, time.Second, 0.3
		mustAdmitByObjective(t, behind, false)
		behind.QueuedWork = 0 // nothing waits, so that nobody needs the room
		mustAdmitByObjective(t, behind, true)
	})
	t.Run("a refused job is admitted after the time that it was told", func(t *testing.T) {
		// Guards against callers that come again while the queue is still too long, because work arrives meanwhile.
		behind := job
		behind.QueuedWork, behind.AllQueuedWork, behind.Arriving, behind.UsefulFor = 3*time.Second, 3*time.Second, 15, 0
		ok, retryAfter := ByObjective{}.Admit(behind)
		must.False(t, ok)
		arriving := behind.Arriving / behind.AllSlots * behind.Slots
		behind.QueuedWork -= time.Duration(float64(retryAfter) * (behind.Slots - arriving))
		mustAdmitByObjective(t, behind, true)
	})
	t.Run("a job is not told to come again soon while the demand exceeds the slots", func(t *testing.T) {
		behind := job
		behind.QueuedWork, behind.AllQueuedWork, behind.Arriving = 3*time.Second, 3*time.Second, 31
		_, retryAfter := ByObjective{}.Admit(behind)
		must.Greater(t, time.Minute, retryAfter)
	})
}

func TestMayStillEnd(t *testing.T) {
	// 10 slots; the job has to start within 0.2 s.
	job := Demand{Slots: 10, AllSlots: 10, Longest: 200 * time.Millisecond, TimeLeft: 400 * time.Millisecond, UsefulFor: 400 * time.Millisecond}
	t.Run("a job that starts soon may end", func(t *testing.T) {
		job.QueuedWork, job.AllQueuedWork = 500*time.Millisecond, 5*time.Second
		must.True(t, MayStillEnd(job))
	})
	t.Run("a job that would only just start in time may not", func(t *testing.T) {
		// Guards against jobs that are kept, are overtaken, and end late or never.
		job.QueuedWork = 1900 * time.Millisecond
		must.False(t, MayStillEnd(job))
	})
}

// Guards against wide jobs that are refused more often than narrow ones of the same kind.
func TestJudgedWork(t *testing.T) {
	must.Eq(t, 0.3, JudgedWork(0.3, 1))
	must.Eq(t, 0.6, JudgedWork(0.6, 2))
	must.InDelta(t, 0.6, JudgedWork(6, 20), 1e-9)
}

func TestTimeToDrain(t *testing.T) {
	must.Eq(t, time.Second, TimeToDrain(10*time.Second, 30, 20))
	must.Eq(t, math.MaxInt64, TimeToDrain(10*time.Second, 30, 30))
}
