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

func fastFailure(job int) Outcome {
	return Outcome{Job: specifier.NewJobID("t", fmt.Sprint(job)), RunTime: time.Millisecond, Expected: time.Second}
}

// failUntilEjected records failures of different jobs until the worker is ejected, and returns the number of failures.
func failUntilEjected(t *testing.T, e *testEjector, w *testWorker, from int) int {
	t.Helper()
	for lost := 1; lost <= 5; lost++ {
		if e.Record(start, w, fastFailure(from+lost), 11) {
			return lost
		}
	}
	t.Fatal("not ejected within 5 failures")
	return 0
}

func TestEject(t *testing.T) {
	t.Run("a worker that fails everything fast is ejected", func(t *testing.T) {
		e, w := &testEjector{}, &testWorker{}
		must.LessEq(t, 5, failUntilEjected(t, e, w, 0))
		must.Eq(t, 0, w.Limit(start, 8, 0))
	})
	t.Run("one job that fails repeatedly ejects no worker", func(t *testing.T) {
		// Guards against a poison payload, which fails on every worker, that gets healthy workers ejected.
		e, workers := &testEjector{}, make([]testWorker, 11)
		for i := range 110 {
			must.False(t, e.Record(start, &workers[i%11], fastFailure(1), 11))
		}
		for i := range workers {
			must.Eq(t, Healthy, workers[i].State())
		}
	})
	t.Run("a limited share of the workers is ejected at once", func(t *testing.T) {
		// Guards against ejecting all workers when a common cause makes tasks fail everywhere.
		e, workers, ejected := &testEjector{}, make([]testWorker, 10), 0
		for i := range 100 {
			if e.Record(start, &workers[i%10], fastFailure(i), 10) {
				ejected++
			}
		}
		must.Eq(t, 3, ejected)
	})
	t.Run("a single failure limits a worker to one task", func(t *testing.T) {
		e, w := &testEjector{}, &testWorker{}
		e.Record(start, w, fastFailure(1), 11)
		must.Eq(t, 0, w.Limit(start, 8, 1))
		success := Outcome{OK: true, Sent: start.Add(time.Second), RunTime: time.Second, Expected: time.Second}
		e.Record(start.Add(2*time.Second), w, success, 11)
		must.Eq(t, 8, w.Limit(start, 8, 1))
	})
	t.Run("the success of a task sent before the failure does not reset the breaker", func(t *testing.T) {
		// Guards against a success that hides a fault: tasks that ran when the worker became unhealthy still succeed.
		e, w := &testEjector{}, &testWorker{}
		e.Record(start, w, fastFailure(1), 11)
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
	t.Run("a failed probe ejects the worker for longer", func(t *testing.T) {
		e.Record(now, w, fastFailure(100), 11)
		must.Eq(t, 0, w.Limit(now.Add(firstEjection), 8, 0))
		must.Eq(t, 1, w.Limit(now.Add(2*firstEjection), 8, 0))
	})
	t.Run("a successful probe lets the worker return gradually", func(t *testing.T) {
		now = now.Add(2 * firstEjection)
		e.TaskSent(w)
		for allowed := 2; allowed <= maxReturningTasks; allowed++ {
			e.Record(now, w, Outcome{OK: true, Sent: now.Add(1), RunTime: time.Second, Expected: time.Second}, 11)
			must.Eq(t, allowed, w.Limit(now, 11, 0))
		}
		e.Record(now, w, Outcome{OK: true, Sent: now.Add(1), RunTime: time.Second, Expected: time.Second}, 11)
		must.Eq(t, Healthy, w.State())
		must.Eq(t, 0, e.ejected)
	})
}

// TestStraggler guards against stopping work on a slow worker abruptly, and against keeping its full weight: the weight
// must fall gradually while tasks are slow, and recover afterwards.
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

// TestSlidingWindow guards against a worker that fails every other task, which Consecutive does not detect
// because each success resets its count.
func TestSlidingWindow(t *testing.T) {
	window, consecutive, tripped := &SlidingWindow{}, &Consecutive{}, false
	for i := range 20 {
		tripped = window.Record(i%2, 5) || tripped
		must.False(t, consecutive.Record(i%2, 5))
	}
	must.True(t, tripped)
}
