package ejector

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

var start = time.Unix(0, 0)

type (
	testWorker  = Worker[Consecutive, *Consecutive]
	testEjector = Ejector[Consecutive, *Consecutive]
)

func fast(job int) Outcome {
	return Outcome{Job: specifier.NewJobID("t", fmt.Sprint(job)), RunTime: time.Millisecond, Expected: time.Second}
}

// failUntilEjected fails tasks of different jobs one at a time and returns how many were lost.
func failUntilEjected(t *testing.T, e *testEjector, w *testWorker, from int) int {
	t.Helper()
	for lost := 1; lost <= 5; lost++ {
		if e.Record(start, w, fast(from+lost), 11) {
			return lost
		}
	}
	t.Fatal("not ejected within 5 failures")
	return 0
}

func TestEject(t *testing.T) {
	t.Run("a worker that fails everything fast", func(t *testing.T) {
		e, w := &testEjector{}, &testWorker{}
		must.LessEq(t, 5, failUntilEjected(t, e, w, 0))
		must.Eq(t, 0, w.Limit(start, 8, 0))
	})
	t.Run("one job that fails again and again ejects nobody", func(t *testing.T) {
		// Guards against a poison payload that takes healthy workers out of service.
		e, workers := &testEjector{}, make([]testWorker, 11)
		for i := range 110 {
			must.False(t, e.Record(start, &workers[i%11], fast(1), 11))
		}
		for i := range workers {
			must.Eq(t, Healthy, workers[i].State())
		}
	})
	t.Run("a limited share at once", func(t *testing.T) {
		// Guards against ejecting everything when the cause is common to all workers.
		e, workers, ejected := &testEjector{}, make([]testWorker, 10), 0
		for i := range 100 {
			if e.Record(start, &workers[i%10], fast(i), 10) {
				ejected++
			}
		}
		must.Eq(t, 3, ejected)
	})
	t.Run("a single failure limits a worker to one task", func(t *testing.T) {
		e, w := &testEjector{}, &testWorker{}
		e.Record(start, w, fast(1), 11)
		must.Eq(t, 0, w.Limit(start, 8, 1))
		success := Outcome{OK: true, Sent: start.Add(time.Second), RunTime: time.Second, Expected: time.Second}
		e.Record(start.Add(2*time.Second), w, success, 11)
		must.Eq(t, 8, w.Limit(start, 8, 1))
	})
	t.Run("an old success does not clear a worker", func(t *testing.T) {
		// Tasks that were running when the worker fell sick still succeed.
		e, w := &testEjector{}, &testWorker{}
		e.Record(start, w, fast(1), 11)
		e.Record(start, w, Outcome{OK: true, Sent: start.Add(-time.Second), RunTime: time.Second, Expected: time.Second}, 11)
		must.Eq(t, 0, w.Limit(start, 8, 1))
	})
}

func TestReturn(t *testing.T) {
	e, w := &testEjector{}, &testWorker{}
	failUntilEjected(t, e, w, 0)
	now := start.Add(firstEjection)
	must.Eq(t, 0, w.Limit(now.Add(-1), 8, 0))
	must.Eq(t, 1, w.Limit(now, 8, 0))
	e.TaskSent(w)
	must.Eq(t, Probing, w.State())
	t.Run("a failed probe ejects for longer", func(t *testing.T) {
		e.Record(now, w, fast(100), 11)
		must.Eq(t, 0, w.Limit(now.Add(firstEjection), 8, 0))
		must.Eq(t, 1, w.Limit(now.Add(2*firstEjection), 8, 0))
	})
	t.Run("a good probe lets it return slowly", func(t *testing.T) {
		now = now.Add(2 * firstEjection)
		e.TaskSent(w)
		for allowed := 2; allowed <= fullAllowance; allowed++ {
			e.Record(now, w, Outcome{OK: true, Sent: now.Add(1), RunTime: time.Second, Expected: time.Second}, 11)
			must.Eq(t, allowed, w.Limit(now, 11, 0))
		}
		e.Record(now, w, Outcome{OK: true, Sent: now.Add(1), RunTime: time.Second, Expected: time.Second}, 11)
		must.Eq(t, Healthy, w.State())
		must.Eq(t, 0, e.out)
	})
}

// TestStraggler guards against sudden ejection of slow workers and against keeping full weight on them.
func TestStraggler(t *testing.T) {
	e, w := &testEjector{}, &testWorker{}
	last := 1.0
	for range 30 {
		e.Record(start, w, Outcome{OK: true, RunTime: 5 * time.Second, Expected: time.Second}, 11)
		must.LessEq(t, last, w.Weight())
		must.GreaterEq(t, last-0.5, w.Weight())
		last = w.Weight()
	}
	must.Eq(t, 0, last)
	for range 20 {
		e.Record(start, w, Outcome{OK: true, RunTime: time.Second, Expected: time.Second}, 11)
	}
	must.Eq(t, 1, w.Weight())
}

// TestSlidingWindow guards against a worker that fails every other task, which Consecutive does not find.
func TestSlidingWindow(t *testing.T) {
	window, consecutive, tripped := &SlidingWindow{}, &Consecutive{}, false
	for i := range 20 {
		tripped = window.Record(i%2, 5) || tripped
		must.False(t, consecutive.Record(i%2, 5))
	}
	must.True(t, tripped)
}
