package dispatcher

import (
	"slices"
	"time"
)

// readyQueue holds the tasks that may start, sorted by key.
type readyQueue struct {
	list []readyTask
	last uint64
}

func compareReady(a, b readyTask) int {
	if order := a.key.Compare(b.key); order != 0 {
		return order
	}
	return int(int64(a.sequence) - int64(b.sequence))
}

func (q *readyQueue) push(key time.Time, t *task) {
	q.last++
	entry := readyTask{key: key, sequence: q.last, task: t}
	at, _ := slices.BinarySearchFunc(q.list, entry, compareReady)
	q.list = slices.Insert(q.list, at, entry)
	t.queued = true
}

// removeAt removes and returns the task at a position.
func (q *readyQueue) removeAt(at int) *task {
	t := q.list[at].task
	q.list = slices.Delete(q.list, at, at+1)
	t.queued = false
	return t
}
