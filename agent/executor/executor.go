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
	// MaxQueue is the most tasks that wait here; more are refused.
	MaxQueue int
	// MaxResultBytes bounds the results kept for repeats; new tasks are refused beyond it, since a
	// result that was answered once must be there for a repeat.
	MaxResultBytes int

	jobs      map[specifier.JobID]*holding
	queue     orderer.Queue
	learned   classifier.Classifier
	reports   orderer.Reporter[specifier.Identity]
	profiles  map[string]specifier.Profile
	expiring  container.Heap[expiry]
	links     map[specifier.Identity]uint64
	upstream  netip.AddrPort
	slots     int       // 0 while the upstream is absent
	lapse     time.Time // when the upstream's announcement ends
	held      int
	lease     time.Time
	now       time.Time // of the present step
	draining  bool
	departure departure
	out       []Action
}

// New returns an executor without an upstream or a lease.
func New(queueBound, heldBytes int) *Executor {
	return &Executor{
		MaxQueue: queueBound,
		MaxResultBytes:  heldBytes,
		jobs:       make(map[specifier.JobID]*holding),
		expiring:   container.Heap[expiry]{Less: expiry.less},
		links:      make(map[specifier.Identity]uint64),
	}
}

// Step handles one event.
func (x *Executor) Step(now time.Time, event Event) []Action {
	x.out, x.now = nil, now
	switch event := event.(type) {
	case Connected:
		x.links[event.Entry] = event.Stream
		x.reports.Add(now, event.Entry, x.Load())
		x.departure.linked(event.Entry)
		x.out = append(x.out, SendLoad{Entry: event.Entry, Load: x.Load()})
		x.requestRelease(event.Entry)
	case Disconnected:
		if x.links[event.Entry] == event.Stream {
			delete(x.links, event.Entry)
			x.reports.Remove(event.Entry)
			x.departure.unlinked(event.Entry)
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
		x.drain(event.On || x.departure.asked)
	case Configured:
		x.profiles = event.Profiles
		x.queue.LongShare = longShare(event.Profiles)
	case Leaving:
		x.departure.asked = true
		x.drain(true)
	case Released:
		x.released(event)
	case Pinged:
		x.out = append(x.out, Ponged(event))
	}
	x.start(now)
	x.reportLoad(now)
	x.depart()
	return x.out
}

// Expire refuses what is too late and forgets the records whose time is over.
func (x *Executor) Expire(now time.Time) []Action {
	x.out, x.now = nil, now
	if !x.leased(now) {
		x.refuseQueued(NoLease)
	}
	if !x.lapse.After(now) {
		x.upstreamDown()
	}
	for _, late := range x.queue.Expire(now) {
		x.dropTask(late.TaskKey(), Late)
	}
	for {
		next, ok := x.expiring.Peek()
		if !ok || next.at.After(now) {
			break
		}
		x.expiring.Pop()
		x.expire(now, next.job)
	}
	x.start(now)
	x.reportLoad(now)
	x.depart()
	return x.out
}

// Next returns the earliest deadline.
func (x *Executor) Next() time.Time {
	var next time.Time
	sooner := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if first, ok := x.expiring.Peek(); ok {
		sooner(first.at)
	}
	if x.queue.Len() > 0 {
		sooner(x.lease)
		if at := x.queue.Next(); !at.IsZero() {
			sooner(at)
		}
	}
	if at := x.reports.Next(x.Load()); !at.IsZero() {
		sooner(at)
	}
	if x.slots > 0 {
		sooner(x.lapse)
	}
	return next
}

// leaseRenewed tells the entries when the agent takes work again after its lease had ended.
func (x *Executor) leaseRenewed(now time.Time, until time.Time) {
	was := x.leased(now)
	x.lease = until
	if !was && x.slots > 0 {
		x.out = append(x.out, Announce{Load: x.Load()})
	}
}

// Load returns the agent's count of its work, without slots while it takes none.
func (x *Executor) Load() specifier.Load {
	slots := x.slots
	if x.draining || !x.leased(x.now) {
		slots = 0
	}
	return specifier.Load{Slots: slots, Running: x.queue.Running(), Queued: x.queue.Len()}
}

// Idle reports whether nothing is queued or running.
func (x *Executor) Idle() bool { return x.queue.Len() == 0 && x.queue.Running() == 0 }

func (x *Executor) expire(now time.Time, id specifier.JobID) {
	job := x.jobs[id]
	if job == nil || job.keep.After(now) {
		return
	}
	if x.busy(job) {
		// A task that outlives its record's time keeps the record, so that it is not started again.
		x.expiring.Push(expiry{at: now.Add(time.Minute), job: id})
		return
	}
	for _, task := range job.tasks {
		x.held -= len(task.body)
	}
	delete(x.jobs, id)
}

// busy reports whether a task of the job still runs; its record is then kept until it ends.
func (x *Executor) busy(job *holding) bool {
	for _, task := range job.tasks {
		if task.state == specifier.TaskRunning {
			return true
		}
	}
	return false
}

func (x *Executor) leased(now time.Time) bool { return now.Before(x.lease) }

func (x *Executor) note(kind recorder.Kind, id specifier.JobID, task *record, other, detail string) {
	x.out = append(x.out, RecordEvent{recorder.Event{Kind: kind, Job: id, Task: task.task, Epoch: task.epoch, Other: other, Detail: detail}})
}
