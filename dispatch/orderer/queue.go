package orderer

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/classifier"
)

// Queue holds the tasks of one agent: those that wait, in order of their keys, and those that run in
// its slots. Slots and LongShare are set before use; SetSlots changes the slots later. It is used by
// one goroutine.
type Queue struct {
	Slots     int
	LongShare float64 // share of the slots that work above the Short class may hold; default 0.5

	waiting   []QueuedTask // sorted; short, since entries send little more than the slots can run
	running   []running
	lastShort time.Time // when short work last arrived
}

// running is a task in a slot.
type running struct {
	entry   QueuedTask
	started time.Time
}

// lendAfter is how long no short work must have arrived before long work may take more than its share.
// Entries keep most waiting work, so an empty queue here does not show that none waits.
const lendAfter = time.Second

// DefaultLongShare is the value of a profile that sets none.
const DefaultLongShare = 0.5

// SetSlots changes the number of slots. Running tasks keep theirs.
func (q *Queue) SetSlots(slots int) { q.Slots = slots }

// Push adds a task. It reports false for a task that already waits or runs.
func (q *Queue) Push(now time.Time, entry QueuedTask) bool {
	if q.holds(entry.TaskKey()) {
		return false
	}
	if entry.Class == classifier.Short {
		q.lastShort = now
	}
	at, _ := slices.BinarySearchFunc(q.waiting, entry, compareEntry)
	q.waiting = slices.Insert(q.waiting, at, entry)
	return true
}

// Start returns the tasks that start now, in order, and counts them as running.
func (q *Queue) Start(now time.Time) []QueuedTask {
	q.reclassify(now)
	var started []QueuedTask
	for len(q.running) < q.Slots {
		i := q.nextStart(now)
		if i < 0 {
			break
		}
		entry := q.waiting[i]
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.running = append(q.running, running{entry: entry, started: now})
		started = append(started, entry)
	}
	return started
}

// nextStart returns the index of the first waiting task that may start, or -1.
func (q *Queue) nextStart(now time.Time) int {
	mayLong := q.longRunning() < q.longLimit(now)
	return slices.IndexFunc(q.waiting, func(entry QueuedTask) bool {
		return entry.Class == classifier.Short || mayLong
	})
}

// longLimit returns how many slots long work may hold: its share, or all but one while no short
// work arrives. A worker with one slot runs either.
func (q *Queue) longLimit(now time.Time) int {
	if now.Sub(q.lastShort) >= lendAfter {
		return max(q.Slots-1, 1)
	}
	return LongLimit(q.Slots, q.LongShare)
}

// LongLimit returns how many of slots long work may hold: at least one, and never all of several.
func LongLimit(slots int, share float64) int {
	if share <= 0 {
		share = DefaultLongShare
	}
	return max(min(int(share*float64(slots)), slots-1), 1)
}

// Done frees the slot of a task. It reports false when the task did not run here.
func (q *Queue) Done(now time.Time, key specifier.TaskKey) (QueuedTask, bool) {
	for i, each := range q.running {
		if each.entry.TaskKey() == key {
			q.running = slices.Delete(q.running, i, i+1)
			return each.entry, true
		}
	}
	return QueuedTask{}, false
}

// Remove drops the waiting tasks of a job and returns them. Running tasks keep their slots.
func (q *Queue) Remove(job specifier.JobID) []QueuedTask {
	return q.drop(func(entry QueuedTask) bool { return entry.Key.Job == job })
}

// Expire drops the waiting tasks whose deadline is past and returns them.
func (q *Queue) Expire(now time.Time) []QueuedTask {
	return q.drop(func(entry QueuedTask) bool { return !entry.Deadline.IsZero() && !now.Before(entry.Deadline) })
}

// Clear drops every waiting task and returns them.
func (q *Queue) Clear() []QueuedTask { return q.drop(func(QueuedTask) bool { return true }) }

// Next returns the earliest time at which Expire or Start may have something to do though no event
// came, or the zero time.
func (q *Queue) Next() time.Time {
	var next time.Time
	earliest := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	long := false
	for _, entry := range q.waiting {
		earliest(entry.Deadline)
		long = long || entry.Class > classifier.Short
	}
	if long && len(q.running) < q.Slots && q.longRunning() < q.Slots-1 {
		earliest(q.lastShort.Add(lendAfter))
	}
	return next
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return len(q.waiting) }

// Running returns the number of tasks in slots.
func (q *Queue) Running() int { return len(q.running) }

// Load returns the counts that the agent reports.
func (q *Queue) Load() specifier.Load {
	return specifier.Load{Slots: q.Slots, Running: len(q.running), Queued: len(q.waiting)}
}

func (q *Queue) reclassify(now time.Time) {
	for i := range q.running {
		each := &q.running[i]
		each.entry.Class = each.entry.Class.Reclassify(now.Sub(each.started))
	}
}

func (q *Queue) longRunning() int {
	long := 0
	for _, each := range q.running {
		if each.entry.Class > classifier.Short {
			long++
		}
	}
	return long
}

func (q *Queue) holds(key specifier.TaskKey) bool {
	return slices.ContainsFunc(q.waiting, func(e QueuedTask) bool { return e.TaskKey() == key }) ||
		slices.ContainsFunc(q.running, func(r running) bool { return r.entry.TaskKey() == key })
}

func (q *Queue) drop(late func(QueuedTask) bool) []QueuedTask {
	var dropped []QueuedTask
	q.waiting = slices.DeleteFunc(q.waiting, func(entry QueuedTask) bool {
		if late(entry) {
			dropped = append(dropped, entry)
			return true
		}
		return false
	})
	return dropped
}

func compareEntry(a, b QueuedTask) int {
	switch {
	case a.Key.Less(b.Key):
		return -1
	case b.Key.Less(a.Key):
		return 1
	}
	return 0
}
