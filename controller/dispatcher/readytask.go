package dispatcher

import (
	"time"
)

// readyTask is an entry of a queue of waiting tasks. Tasks with the same key are in the order of their sequence numbers. The entry is
// void once the task has another sequence number.
type readyTask struct {
	key      time.Time
	sequence uint64
	task     *task
}

func (r readyTask) valid() bool { return r.task.queuedAs == r.sequence }

func readyBefore(a, b readyTask) bool {
	if order := a.key.Compare(b.key); order != 0 {
		return order < 0
	}
	return a.sequence < b.sequence
}
