package orderer

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/classifier"
)

// Queue contains the tasks of one agent: waiting tasks in order of their keys, and running tasks in slots. Slots and
// LongShare are set before use; SetSlots changes the slots later. A Queue is not safe for concurrent use.
type Queue struct {
	Slots     int
	LongShare float64 // share of the slots that work above the Short class may use; default 0.5

	waiting     []QueuedTask // sorted; few, since entries send only slightly more tasks than there are slots
	running     []running
	lastShortAt time.Time // when the last task of the Short class arrived
}

// running is a task in a slot.
type running struct {
	task      QueuedTask
	startedAt time.Time
}

// borrowDelay is the time without an arrival of short work after which long work may use more than its share. An empty
// queue at the agent is not sufficient, since most waiting work is queued at the entries.
const borrowDelay = time.Second

// DefaultLongShare applies where no share is set.
const DefaultLongShare = 0.5

// SetSlots changes the number of slots. Running tasks continue.
func (q *Queue) SetSlots(slots int) { q.Slots = slots }

// Push adds a task. It returns false if the task is already waiting or running.
func (q *Queue) Push(now time.Time, task QueuedTask) bool {
	if q.contains(task.TaskKey()) {
		return false
	}
	if task.Class == classifier.Short {
		q.lastShortAt = now
	}
	at, _ := slices.BinarySearchFunc(q.waiting, task, compareTasks)
	q.waiting = slices.Insert(q.waiting, at, task)
	return true
}

// Start moves the tasks that may start now from waiting to running and returns them in order.
func (q *Queue) Start(now time.Time) []QueuedTask {
	q.reclassify(now)
	var started []QueuedTask
	for len(q.running) < q.Slots {
		i := q.nextStart(now)
		if i < 0 {
			break
		}
		task := q.waiting[i]
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.running = append(q.running, running{task: task, startedAt: now})
		started = append(started, task)
	}
	return started
}

// nextStart returns the index of the first waiting task that may start, or -1.
func (q *Queue) nextStart(now time.Time) int {
	mayLong := q.longRunning() < q.longLimit(now)
	return slices.IndexFunc(q.waiting, func(task QueuedTask) bool {
		return task.Class == classifier.Short || mayLong
	})
}

// longLimit returns how many slots long work may use: its share, or all but one while no short work arrives. The limit
// is at least one, so that a worker with one slot runs both kinds.
func (q *Queue) longLimit(now time.Time) int {
	if now.Sub(q.lastShortAt) >= borrowDelay {
		return max(q.Slots-1, 1)
	}
	return LongLimit(q.Slots, q.LongShare)
}

// LongLimit returns how many of the slots long work may use: at least one, and all of them only if there is just one.
func LongLimit(slots int, share float64) int {
	if share <= 0 {
		share = DefaultLongShare
	}
	return max(min(int(share*float64(slots)), slots-1), 1)
}

// Done frees the slot of a task. It returns false if the task was not running in this queue.
func (q *Queue) Done(now time.Time, key specifier.TaskKey) (QueuedTask, bool) {
	for i, each := range q.running {
		if each.task.TaskKey() == key {
			q.running = slices.Delete(q.running, i, i+1)
			return each.task, true
		}
	}
	return QueuedTask{}, false
}

// Remove removes the waiting tasks of a job and returns them. Running tasks continue.
func (q *Queue) Remove(job specifier.JobID) []QueuedTask {
	return q.removeMatching(func(task QueuedTask) bool { return task.Key.Job == job })
}

// Expire removes the waiting tasks whose deadline has passed and returns them.
func (q *Queue) Expire(now time.Time) []QueuedTask {
	return q.removeMatching(func(task QueuedTask) bool { return !task.Deadline.IsZero() && !now.Before(task.Deadline) })
}

// Clear removes all waiting tasks and returns them.
func (q *Queue) Clear() []QueuedTask { return q.removeMatching(func(QueuedTask) bool { return true }) }

// Next returns the earliest time at which Expire or Start may change the queue without a new event, or the zero time.
func (q *Queue) Next() time.Time {
	var next time.Time
	earliest := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	long := false
	for _, task := range q.waiting {
		earliest(task.Deadline)
		long = long || task.Class > classifier.Short
	}
	if long && len(q.running) < q.Slots && q.longRunning() < q.Slots-1 {
		earliest(q.lastShortAt.Add(borrowDelay))
	}
	return next
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return len(q.waiting) }

// Running returns the number of tasks in slots.
func (q *Queue) Running() int { return len(q.running) }

// Load returns the load that the agent reports to entries.
func (q *Queue) Load() specifier.Load {
	return specifier.Load{Slots: q.Slots, Running: len(q.running), Queued: len(q.waiting)}
}

func (q *Queue) reclassify(now time.Time) {
	for i := range q.running {
		each := &q.running[i]
		each.task.Class = each.task.Class.Reclassify(now.Sub(each.startedAt))
	}
}

func (q *Queue) longRunning() int {
	long := 0
	for _, each := range q.running {
		if each.task.Class > classifier.Short {
			long++
		}
	}
	return long
}

func (q *Queue) contains(key specifier.TaskKey) bool {
	return slices.ContainsFunc(q.waiting, func(t QueuedTask) bool { return t.TaskKey() == key }) ||
		slices.ContainsFunc(q.running, func(r running) bool { return r.task.TaskKey() == key })
}

func (q *Queue) removeMatching(matches func(QueuedTask) bool) []QueuedTask {
	var dropped []QueuedTask
	q.waiting = slices.DeleteFunc(q.waiting, func(task QueuedTask) bool {
		if matches(task) {
			dropped = append(dropped, task)
			return true
		}
		return false
	})
	return dropped
}

func compareTasks(a, b QueuedTask) int {
	switch {
	case a.Key.Less(b.Key):
		return -1
	case b.Key.Less(a.Key):
		return 1
	}
	return 0
}
