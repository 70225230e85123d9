package orderer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/classifier"
)

var start = time.Unix(0, 0)

func newTask(name string, class classifier.Class) QueuedTask {
	job := specifier.NewJobID("team", name)
	return QueuedTask{Key: Key{At: start, Job: job, Task: name}, Class: class, Deadline: start.Add(time.Hour)}
}

func push(q *Queue, now time.Time, class classifier.Class, count int, prefix string) {
	for i := range count {
		q.Push(now, newTask(fmt.Sprint(prefix, i), class))
	}
}

func mustStart(t *testing.T, q *Queue, now time.Time, want int) {
	t.Helper()
	must.Len(t, want, q.Start(now))
	must.LessEq(t, q.Slots, q.Running())
}

func TestQueue(t *testing.T) {
	t.Run("long work leaves slots free while short work arrives", func(t *testing.T) {
		// Guards against short work that waits for seconds because long tasks occupy every slot of a worker.
		q := &Queue{Slots: 8}
		push(q, start, classifier.Short, 1, "s")
		push(q, start, classifier.Long, 20, "l")
		mustStart(t, q, start, 1+4)
	})
	t.Run("long work may borrow, but never the last slot", func(t *testing.T) {
		q := &Queue{Slots: 8}
		push(q, start, classifier.Long, 20, "l")
		mustStart(t, q, start.Add(2*time.Second), 7)
		push(q, start.Add(2*time.Second), classifier.Short, 1, "s")
		mustStart(t, q, start.Add(2*time.Second), 1)
	})
	t.Run("borrowed slots return to short work when it arrives", func(t *testing.T) {
		q := &Queue{Slots: 8}
		push(q, start, classifier.Long, 20, "l")
		now := start.Add(2 * time.Second)
		started := q.Start(now)
		push(q, now, classifier.Short, 1, "s")
		q.Done(now, started[0].TaskKey())
		mustStart(t, q, now, 1) // the short task, since long work already uses more than its share
	})
	t.Run("a task that runs longer than its class counts as long", func(t *testing.T) {
		// Guards against long tasks in every slot because their profile declares too short a run time.
		q := &Queue{Slots: 8}
		push(q, start, classifier.Short, 4, "s")
		mustStart(t, q, start, 4)
		now := start.Add(3 * time.Second)
		push(q, now, classifier.Short, 1, "t")
		push(q, now, classifier.Long, 4, "l")
		mustStart(t, q, now, 1)
	})
	t.Run("a worker with one slot runs long work too", func(t *testing.T) {
		q := &Queue{Slots: 1}
		push(q, start, classifier.Long, 1, "l")
		mustStart(t, q, start, 1)
	})
	t.Run("late tasks are dropped before they start", func(t *testing.T) {
		q := &Queue{Slots: 1}
		push(q, start, classifier.Short, 2, "s")
		mustStart(t, q, start, 1)
		must.Len(t, 1, q.Expire(start.Add(time.Hour)))
		must.Eq(t, 0, q.Len())
		must.Eq(t, 1, q.Running())
	})
}

// TestQueueProperties guards against a task that starts twice or is lost, and against more running tasks than slots, under
// random sequences of operations.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &Queue{Slots: rapid.IntRange(1, 8).Draw(t, "slots")}
		now := start
		pushed, started, ended := 0, map[specifier.TaskKey]bool{}, 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				class := classifier.Class(rapid.IntRange(0, 2).Draw(t, "class"))
				if q.Push(now, newTask(fmt.Sprint(pushed), class)) {
					pushed++
				}
			},
			"start": func(t *rapid.T) {
				for _, each := range q.Start(now) {
					must.False(t, started[each.TaskKey()])
					started[each.TaskKey()] = true
				}
			},
			"done": func(t *rapid.T) {
				if key, ok := anyRunning(q); ok {
					_, found := q.Done(now, key)
					must.True(t, found)
					ended++
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				must.LessEq(t, q.Slots, q.Running())
				must.Eq(t, pushed, q.Len()+q.Running()+ended)
			},
		})
	})
}

func anyRunning(q *Queue) (specifier.TaskKey, bool) {
	if len(q.running) == 0 {
		return specifier.TaskKey{}, false
	}
	return q.running[0].task.TaskKey(), true
}
