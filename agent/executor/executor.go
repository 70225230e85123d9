package executor

import (
	"net/netip"
	"time"

	"oleandertally/core/container"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/classifier"
	"oleandertally/dispatch/orderer"
)

// Executor is the control state of an agent. Exported fields are set before the first Step.
type Executor struct {
	// MaxQueue bounds the number of queued tasks; further ones are refused.
	MaxQueue int
	// MaxResultBytes bounds the results that are kept to be resent. Beyond it, new tasks are refused, since a result that
	// was sent once must stay available.
	MaxResultBytes int

	jobs          map[specifier.JobID]*jobRecord
	queue         orderer.Queue
	classifier    classifier.Classifier
	loadReporter  orderer.LoadReporter[specifier.Identity]
	profiles      map[string]specifier.Profile
	expiries      container.Heap[expiry]
	streams       map[specifier.Identity]uint64
	upstream      netip.AddrPort
	slots         int       // 0 while the upstream is absent
	upstreamUntil time.Time // end of the upstream's announcement
	resultBytes   int       // size of the results that are kept
	leaseEnd      time.Time
	now           time.Time // time of the current step
	draining      bool
	departure     departure
	actions       []Action
}

// New returns an executor without an upstream or a lease.
func New(maxQueue, maxResultBytes int) *Executor {
	return &Executor{
		MaxQueue:       maxQueue,
		MaxResultBytes: maxResultBytes,
		jobs:           make(map[specifier.JobID]*jobRecord),
		expiries:       container.Heap[expiry]{Less: expiry.less},
		streams:        make(map[specifier.Identity]uint64),
	}
}

// Step handles one event.
func (x *Executor) Step(now time.Time, event Event) []Action {
	x.actions, x.now = nil, now
	switch event := event.(type) {
	case Connected:
		x.streams[event.Entry] = event.Stream
		x.loadReporter.Add(now, event.Entry, x.Load())
		x.departure.connected(event.Entry)
		x.actions = append(x.actions, SendLoad{Entry: event.Entry, Load: x.Load()})
		x.requestRelease(event.Entry)
	case Disconnected:
		if x.streams[event.Entry] == event.Stream {
			delete(x.streams, event.Entry)
			x.loadReporter.Remove(event.Entry)
			x.departure.disconnected(event.Entry)
		}
	case Assigned:
		x.assigned(now, event)
	case Withdrawn:
		x.withdrawn(event)
	case Fenced:
		x.fenced(now, event)
	case UpstreamUp:
		x.upstreamUp(event)
	case UpstreamDown:
		x.upstreamDown()
	case RunEnded:
		x.runEnded(now, event)
	case Leased:
		x.leaseRenewed(now, event.Until)
	case Draining:
		x.drain(event.On || x.departure.requested)
	case Configured:
		x.profiles = event.Profiles
		x.queue.LongShare = longShare(event.Profiles)
	case Leaving:
		x.departure.requested = true
		x.drain(true)
	case Released:
		x.released(event)
	case Pinged:
		x.actions = append(x.actions, Ponged(event))
	}
	x.start(now)
	x.reportLoad(now)
	x.depart()
	return x.actions
}

// Expire refuses queued tasks that can no longer run and deletes expired records.
func (x *Executor) Expire(now time.Time) []Action {
	x.actions, x.now = nil, now
	if !x.leased(now) {
		x.refuseQueued(NoLease)
	}
	if !x.upstreamUntil.After(now) {
		x.upstreamDown()
	}
	for _, late := range x.queue.Expire(now) {
		x.dropTask(late.TaskKey(), Late)
	}
	for {
		next, ok := x.expiries.Peek()
		if !ok || next.at.After(now) {
			break
		}
		x.expiries.Pop()
		x.expire(now, next.job)
	}
	x.start(now)
	x.reportLoad(now)
	x.depart()
	return x.actions
}

// Next returns the earliest deadline.
func (x *Executor) Next() time.Time {
	var next time.Time
	consider := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if first, ok := x.expiries.Peek(); ok {
		consider(first.at)
	}
	if x.queue.Len() > 0 {
		consider(x.leaseEnd)
		if at := x.queue.Next(); !at.IsZero() {
			consider(at)
		}
	}
	if at := x.loadReporter.Next(x.Load()); !at.IsZero() {
		consider(at)
	}
	if x.slots > 0 {
		consider(x.upstreamUntil)
	}
	return next
}

// leaseRenewed extends the lease. If the lease had ended, the agent takes work again and announces its load.
func (x *Executor) leaseRenewed(now time.Time, until time.Time) {
	wasLeased := x.leased(now)
	x.leaseEnd = until
	if !wasLeased && x.slots > 0 {
		x.actions = append(x.actions, Announce{Load: x.Load()})
	}
}

// Load returns the number of slots and of running and queued tasks. Slots is 0 while the agent takes no work.
func (x *Executor) Load() specifier.Load {
	slots := x.slots
	if x.draining || !x.leased(x.now) {
		slots = 0
	}
	return specifier.Load{Slots: slots, Running: x.queue.Running(), Queued: x.queue.Len()}
}

// Idle reports whether no task is queued or running.
func (x *Executor) Idle() bool { return x.queue.Len() == 0 && x.queue.Running() == 0 }

func (x *Executor) expire(now time.Time, id specifier.JobID) {
	job := x.jobs[id]
	if job == nil || job.keepUntil.After(now) {
		return
	}
	if x.isRunning(job) {
		// The record of a running task is kept past its expiry, so that the task is not started again.
		x.expiries.Push(expiry{at: now.Add(time.Minute), job: id})
		return
	}
	for _, task := range job.tasks {
		x.resultBytes -= len(task.body)
	}
	delete(x.jobs, id)
}

// isRunning reports whether a task of the job still runs.
func (x *Executor) isRunning(job *jobRecord) bool {
	for _, task := range job.tasks {
		if task.state == specifier.TaskRunning {
			return true
		}
	}
	return false
}

func (x *Executor) leased(now time.Time) bool { return now.Before(x.leaseEnd) }

func (x *Executor) recordEvent(kind recorder.Kind, id specifier.JobID, task *taskRecord, other, detail string) {
	x.actions = append(x.actions, RecordEvent{recorder.Event{Kind: kind, Job: id, Task: task.task, Epoch: task.epoch, Other: other, Detail: detail}})
}
