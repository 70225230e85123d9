package dispatcher

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/sharer"
)

const (
	// latePenalty is added to the key of a task that can no longer end in time, to order it behind those that can.
	latePenalty = 10 * time.Second
	// A task should start early enough to leave a margin of its estimate divided by estimateMarginDivisor, plus startMargin for messages.
	// A task that would only just end in time mostly ends late, and delays a task that has time.
	estimateMarginDivisor = 4
	startMargin           = 12 * time.Millisecond
	// priorityStep is what each step of a queue's priority adds to the divisor of its part of scarce capacity.
	priorityStep = 0.25
	// maxVoidEntries is the number of void entries of a kind from which on they are removed.
	maxVoidEntries = 64
)

// weight returns a queue's part of scarce capacity, relative to other queues.
func weight(queue specifier.Queue) float64 {
	return 1 / (1 + priorityStep*float64(max(queue.Priority, 0)))
}

// kind returns the kind of the work of a job.
func (d *Dispatcher) kind(j *job) *sharer.Kind[readyTask] {
	return d.pool(j.queue.Pool).waiting.Kind(j.Queue, weight(j.queue))
}

// withMargin returns how long before its objective work of a run time should start.
func withMargin(runTime time.Duration) time.Duration {
	return runTime + runTime/estimateMarginDivisor + startMargin
}

// key returns a task's place among the waiting tasks of its kind: the latest time at which the task should start, plus latePenalty when
// the task can no longer end in time.
func (d *Dispatcher) key(t *task) (key time.Time, late bool) {
	start := t.job.due.Add(-withMargin(t.step().Estimate))
	if start.Before(d.now) && !(t.job.started && d.now.Before(t.job.due)) {
		return start.Add(latePenalty), true
	}
	return start, false
}

// enqueue makes a task wait for a worker.
func (d *Dispatcher) enqueue(t *task) {
	t.state, t.run = taskReady, nil
	if t.job.blocked() {
		t.state = taskBlocked
		return
	}
	if t.queuedAs != 0 || t.job.ended || t.job.cancelled {
		return
	}
	step := t.step()
	t.pool = d.pool(t.job.queue.Pool)
	t.kind = t.pool.waiting.Kind(t.job.Queue, weight(t.job.queue))
	t.work = t.coreSeconds()
	t.kind.Count++
	if t.rack = nil; t.job.Transient { // a rack is reserved for tasks that wait for a bounded time
		t.rack = t.pool.rackOf(step)
	}
	t.rack.wait(step.Resources.MilliCores)
	if t.rack != nil {
		t.rack.demand.Add(d.now, t.work)
	}
	d.waitingTasks++
	d.push(t)
}

// push adds a waiting task to its kind with the present key.
func (d *Dispatcher) push(t *task) {
	d.lastQueued++
	t.queuedAs = d.lastQueued
	key, late := d.key(t)
	t.late = late
	t.pool.changed = true
	if late {
		t.pool.lateWork += t.work
	} else {
		t.kind.Waiting += t.work
		t.place = t.kind.Backlog.Add(d.now, key, t.work)
	}
	t.kind.Push(readyTask{key: key, sequence: t.queuedAs, task: t})
}

// removeWork takes a waiting task out of the sums of waiting work.
func (d *Dispatcher) removeWork(t *task) {
	if t.late {
		t.pool.lateWork = max(t.pool.lateWork-t.work, 0)
		return
	}
	t.kind.Waiting = max(t.kind.Waiting-t.work, 0)
	t.kind.Backlog.Remove(d.now, t.place, t.work)
}

// dequeue ends the wait of a task. Its entry becomes void.
func (d *Dispatcher) dequeue(t *task) {
	if t.queuedAs == 0 {
		return
	}
	t.queuedAs = 0
	d.removeWork(t)
	t.kind.Count--
	t.rack.wait(-t.step().Resources.MilliCores)
	d.waitingTasks--
	if t.kind.Len() > maxVoidEntries && t.kind.Len() > 2*t.kind.Count {
		t.kind.Filter(readyTask.valid)
	}
}

// dequeueJob ends the wait of a job's tasks. They are blocked until enqueueUnblocked is called.
func (d *Dispatcher) dequeueJob(j *job) {
	j.eachTask(func(t *task) {
		if t.queuedAs != 0 {
			d.dequeue(t)
			t.state = taskBlocked
		}
	})
}

// first returns the first waiting task of a kind. It removes void entries, and moves tasks that have become late behind the others.
func (d *Dispatcher) first(kind *sharer.Kind[readyTask]) (*task, bool) {
	for {
		entry, ok := kind.Peek()
		if !ok {
			return nil, false
		}
		t := entry.task
		if !entry.valid() {
			kind.Pop()
			continue
		}
		if _, late := d.key(t); late && !t.late {
			kind.Pop()
			d.removeWork(t)
			d.push(t)
			continue
		}
		return t, true
	}
}

// requeueAll moves the waiting tasks to the pools and kinds of their queues, which have changed.
func (d *Dispatcher) requeueAll() {
	var list []*task
	for _, p := range d.poolList {
		d.requeueAside(p)
		for _, kind := range p.waiting.Kinds() {
			for entry, ok := kind.Pop(); ok; entry, ok = kind.Pop() {
				if entry.valid() {
					list = append(list, entry.task)
				}
			}
		}
	}
	for _, t := range list {
		d.dequeue(t)
		d.enqueue(t)
	}
}
