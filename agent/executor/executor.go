package executor

import (
	"net/netip"
	"time"

	"oleandertally/core/collector"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/classifier"
	"oleandertally/dispatch/orderer"
)

// Executor is the control state of an agent. Exported fields are set before the first Step.
type Executor struct {
	// QueueBound is the most tasks that wait here; more are refused.
	QueueBound int
	// HeldBytes bounds the results kept for repeats; new tasks are refused beyond it, since a
	// result that was answered once must be there for a repeat.
	HeldBytes int

	jobs      map[specifier.JobID]*holding
	queue     orderer.Queue
	learned   classifier.Classifier
	reports   orderer.Reporter[specifier.Identity]
	profiles  map[string]specifier.Profile
	expiring  collector.Heap[expiry]
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
		QueueBound: queueBound,
		HeldBytes:  heldBytes,
		jobs:       make(map[specifier.JobID]*holding),
		expiring:   collector.Heap[expiry]{Less: expiry.less},
		links:      make(map[specifier.Identity]uint64),
	}
}

// Step handles one event.
func (x *Executor) Step(now time.Time, event Event) []Action {
	x.out, x.now = nil, now
	switch event := event.(type) {
	case Linked:
		x.links[event.Entry] = event.Link
		x.reports.Add(now, event.Entry, x.Load())
		x.departure.linked(event.Entry)
		x.out = append(x.out, Greet{Entry: event.Entry, Load: x.Load()})
		x.farewell(event.Entry)
	case Unlinked:
		if x.links[event.Entry] == event.Link {
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

func (x *Executor) assigned(now time.Time, e Assigned) {
	if x.links[e.Entry] != e.Link {
		return
	}
	job := x.jobs[e.Key.Job]
	if job != nil {
		if e.Epoch < job.epoch {
			x.refuse(e, Superseded)
			return
		}
		if known := job.tasks[e.Key.Task]; known != nil {
			x.repeated(job, known, e)
			return
		}
	}
	if cause := x.unfit(now, e); cause != "" {
		x.refuse(e, cause)
		return
	}
	job = x.hold(e.Key.Job, e.Epoch, e.Entry, e.Deadline)
	task := &record{key: e.Key, epoch: e.Epoch, state: specifier.TaskQueued, payload: e.Payload,
		profile: e.Profile, deadline: e.Deadline, queued: now}
	job.tasks[e.Key.Task] = task
	x.queue.Push(now, orderer.Entry{Key: orderer.Key{At: e.Order, Job: e.Key.Job, Task: e.Key.Task}, Deadline: e.Deadline,
		Class: x.learned.Class(e.Profile, x.profiles[e.Profile].TypicalTime), Profile: e.Profile})
	x.note(recorder.TaskQueued, task, e.Entry.Name, "")
}

// repeated handles a task that is held already: it is never started again.
func (x *Executor) repeated(job *holding, known *record, e Assigned) {
	job.owner, job.epoch, known.epoch = e.Entry, e.Epoch, e.Epoch
	if known.state == specifier.TaskEnded || known.state == specifier.TaskBroken {
		x.tell(job, known)
	}
}

// unfit returns why the agent can't take the task now, or nothing.
func (x *Executor) unfit(now time.Time, e Assigned) Cause {
	switch {
	case x.draining:
		return Drain
	case x.slots == 0:
		return NoUpstream
	case !x.leased(now):
		return NoLease
	case !e.Deadline.After(now):
		return Late
	case x.queue.Len() >= x.QueueBound || x.held >= x.HeldBytes:
		return Full
	}
	return ""
}

func (x *Executor) withdrawn(e Withdrawn) {
	job := x.jobs[e.Job]
	if x.links[e.Entry] != e.Link || job == nil || e.Epoch < job.epoch {
		return
	}
	for _, entry := range x.queue.Remove(e.Job) {
		x.dropTask(entry.TaskKey(), Withdraw)
	}
}

func (x *Executor) fenced(now time.Time, e Fenced) {
	if x.links[e.Entry] != e.Link {
		return
	}
	job := x.jobs[e.Job]
	if job == nil || e.Epoch > job.epoch {
		x.dropSilently(e.Job)
		job = x.hold(e.Job, e.Epoch, e.Entry, e.Deadline)
		x.out = append(x.out, Note{recorder.Event{Kind: recorder.JobFenced, Job: e.Job, Epoch: e.Epoch, Other: e.Entry.Name}})
	}
	x.out = append(x.out, Report{Entry: e.Entry, Job: e.Job, Epoch: job.epoch, Tasks: job.reports(), Mark: e.Mark, Load: x.Load()})
}

// hold returns the record of a job, raised to epoch and kept until after deadline.
func (x *Executor) hold(id specifier.JobID, epoch specifier.Epoch, owner specifier.Identity, deadline time.Time) *holding {
	job := x.jobs[id]
	if job == nil {
		job = &holding{tasks: make(map[string]*record)}
		x.jobs[id] = job
	}
	job.owner, job.epoch = owner, epoch
	if keep := deadline.Add(specifier.KeyRetention); keep.After(job.keep) {
		job.keep = keep
		x.expiring.Push(expiry{at: keep, job: id})
	}
	return job
}

func (x *Executor) upstreamUp(e UpstreamUp) {
	changed := x.slots != e.Slots || x.upstream != e.Addr
	x.upstream, x.slots, x.lapse = e.Addr, e.Slots, e.Until
	if changed {
		x.out = append(x.out, Announce{Load: x.Load()})
	}
}

func (x *Executor) upstreamDown() {
	if x.slots == 0 {
		return
	}
	x.slots = 0
	x.refuseQueued(NoUpstream)
	x.out = append(x.out, Announce{Load: x.Load()})
}

func (x *Executor) drain(on bool) {
	if x.draining == on {
		return
	}
	x.draining = on
	kind := recorder.MemberResumed
	if on {
		kind = recorder.MemberDraining
		x.refuseQueued(Drain)
	}
	x.out = append(x.out, Note{recorder.Event{Kind: kind}})
	x.out = append(x.out, Announce{Load: x.Load()})
}

func (x *Executor) runEnded(now time.Time, e RunEnded) {
	x.queue.Done(now, e.Key)
	job := x.jobs[e.Key.Job]
	if job == nil {
		return
	}
	task := job.tasks[e.Key.Task]
	if task == nil || task.state != specifier.TaskRunning {
		return
	}
	if e.NotStarted {
		delete(job.tasks, e.Key.Task)
		x.out = append(x.out, Refused{Entry: job.owner, Key: e.Key, Epoch: job.epoch, Cause: NoUpstream, Load: x.Load()})
		x.note(recorder.TaskRefused, task, job.owner.Name, string(NoUpstream))
		x.upstreamDown()
		return
	}
	task.state = specifier.TaskEnded
	if e.Broken {
		task.state = specifier.TaskBroken
	}
	task.body, task.detail, task.runTime = e.Body, e.Detail, now.Sub(task.started)
	x.held += len(e.Body)
	if !e.Broken {
		x.learned.Record(task.profile, task.runTime)
	}
	x.note(recorder.TaskEnded, task, job.owner.Name, e.Detail)
	x.reports.Ended()
	x.start(now) // first, so that the load in the answer counts what now runs in the free slot
	x.tell(job, task)
}

// start runs queued tasks in the free slots.
func (x *Executor) start(now time.Time) {
	if !x.leased(now) || x.slots == 0 {
		return
	}
	x.queue.SetSlots(x.slots)
	for _, late := range x.queue.Expire(now) {
		x.dropTask(late.TaskKey(), Late)
	}
	for _, entry := range x.queue.Start(now) {
		job := x.jobs[entry.Key.Job]
		task := job.tasks[entry.Key.Task]
		task.state, task.started, task.waited = specifier.TaskRunning, now, now.Sub(task.queued)
		x.note(recorder.TaskStarted, task, job.owner.Name, "")
		x.out = append(x.out, Run{Addr: x.upstream, Key: task.key, Epoch: task.epoch, Payload: task.payload, Deadline: task.deadline})
		task.payload = nil
	}
}

// reportLoad tells the entries whose view of this agent is far off.
func (x *Executor) reportLoad(now time.Time) {
	load := x.Load()
	for _, entry := range x.reports.Due(now, load) {
		x.out = append(x.out, Greet{Entry: entry, Load: load})
	}
}

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

func (x *Executor) refuseQueued(cause Cause) {
	for _, entry := range x.queue.Clear() {
		x.dropTask(entry.TaskKey(), cause)
	}
}

// dropSilently drops what has not started of a job whose owner has been replaced.
func (x *Executor) dropSilently(id specifier.JobID) {
	for _, entry := range x.queue.Remove(id) {
		delete(x.jobs[id].tasks, entry.Key.Task)
	}
}

// dropTask refuses a task that the queue no longer holds.
func (x *Executor) dropTask(key specifier.TaskKey, cause Cause) {
	job := x.jobs[key.Job]
	task := job.tasks[key.Task]
	delete(job.tasks, key.Task)
	x.out = append(x.out, Refused{Entry: job.owner, Key: key, Epoch: job.epoch, Cause: cause, Load: x.Load()})
	x.note(recorder.TaskRefused, task, job.owner.Name, string(cause))
}

// refuse answers an assignment that is not taken. It is recorded unless the agent holds the task, which it
// then may have started.
func (x *Executor) refuse(e Assigned, cause Cause) {
	if job := x.jobs[e.Key.Job]; job == nil || job.tasks[e.Key.Task] == nil {
		x.out = append(x.out, Note{recorder.Event{Kind: recorder.TaskRefused, Job: e.Key.Job, Task: e.Key.Task, Epoch: e.Epoch,
			Other: e.Entry.Name, Detail: string(cause)}})
	}
	x.out = append(x.out, Refused{Entry: e.Entry, Key: e.Key, Epoch: e.Epoch, Cause: cause, Load: x.Load()})
}

func (x *Executor) tell(job *holding, task *record) {
	x.out = append(x.out, Done{Entry: job.owner, Key: task.key, Epoch: job.epoch, Broken: task.state == specifier.TaskBroken,
		Body: task.body, Detail: task.detail, RunTime: task.runTime, Waited: task.waited, Load: x.Load()})
}

func (x *Executor) note(kind recorder.Kind, task *record, other, detail string) {
	x.out = append(x.out, Note{recorder.Event{Kind: kind, Job: task.key.Job, Task: task.key.Task, Epoch: task.epoch, Other: other, Detail: detail}})
}

// longShare returns the smallest share that a profile sets: the slots are shared by all profiles of
// the upstream.
func longShare(profiles map[string]specifier.Profile) float64 {
	share := 0.0
	for _, profile := range profiles {
		if profile.LongShare > 0 && (share == 0 || profile.LongShare < share) {
			share = profile.LongShare
		}
	}
	return share
}
