package player

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/classifier"
	"oleandertally/dispatch/orderer"
	"oleandertally/dispatch/scheduler"
	"oleandertally/replay/tracer"
)

// agent is a fake agent around the queue that real agents use.
type agent struct {
	player  *Player
	member  specifier.Member
	index   int // worker number in the trace
	zone    int
	queue   orderer.Queue
	owners  map[specifier.TaskKey]*entry
	report  orderer.Reporter[int] // by entry
	learned classifier.Classifier
	pushed  int
	dead    bool
	timer   time.Time
}

// assign takes a task from an entry.
func (a *agent) assign(from *entry, item scheduler.Item) {
	if a.dead {
		return
	}
	order := item.Order
	a.pushed++
	if a.player.variant.FIFO {
		order.At = epoch.Add(time.Duration(a.pushed))
	}
	task := orderer.QueuedTask{Key: order, Deadline: item.Deadline, Profile: item.Profile, Team: item.Team,
		Class: a.learned.Class(item.Profile, a.player.profile(item.Profile).TypicalTime)}
	a.owners[item.Key] = from
	a.queue.Push(a.player.time.now, task)
	a.step()
}

// withdraw drops the waiting tasks of a job.
func (a *agent) withdraw(job specifier.JobID) {
	for _, task := range a.queue.Remove(job) {
		delete(a.owners, task.TaskKey())
	}
	a.step()
}

// step starts what may start and reports the load to entries that are misled.
func (a *agent) step() {
	now := a.player.time.now
	if a.dead {
		return
	}
	a.startWaiting()
	for _, i := range a.report.Due(now, a.queue.Load()) {
		a.tell(a.player.entries[i], a.player.entries[i].dispatch)
	}
	if next := a.queue.Next(); !next.IsZero() && !next.Equal(a.timer) {
		a.timer = next
		a.player.time.at(next, a.step)
	}
}

// startWaiting drops what is too late and starts what has a slot.
func (a *agent) startWaiting() {
	now := a.player.time.now
	for _, late := range a.queue.Expire(now) {
		a.refuse(late.TaskKey())
	}
	for _, task := range a.queue.Start(now) {
		a.start(task)
	}
}

func (a *agent) refuse(key specifier.TaskKey) {
	owner := a.owners[key]
	delete(a.owners, key)
	a.tell(owner, func() { owner.refused(a, key) })
}

func (a *agent) start(task orderer.QueuedTask) {
	run, ok := a.player.runTime(a, task.TaskKey())
	a.player.time.after(run, func() { a.finish(task, run, ok) })
}

func (a *agent) finish(task orderer.QueuedTask, run time.Duration, ok bool) {
	if a.dead {
		return
	}
	key := task.TaskKey()
	a.queue.Done(a.player.time.now, key)
	a.player.ran(key, run)
	if ok {
		a.learned.Record(task.Profile, run)
	}
	owner := a.owners[key]
	delete(a.owners, key)
	a.startWaiting()
	a.tell(owner, func() { owner.done(a, key, ok, run) })
	a.report.TaskEnded()
	a.step()
}

// tell sends a message with the agent's load to an entry.
func (a *agent) tell(to *entry, deliver func()) {
	load := a.queue.Load()
	a.report.ReportSent(a.player.time.now, to.index, load)
	a.player.send(a.zone, to.zone, func() {
		to.scheduler.UpdateLoad(a.player.time.now, a.member.Identity, load)
		deliver()
	})
}

func newAgent(p *Player, index, zone int, member specifier.Member) *agent {
	a := &agent{player: p, index: index, zone: zone, member: member, queue: orderer.Queue{Slots: member.Slots},
		owners: make(map[specifier.TaskKey]*entry)}
	for i := range p.trace.Entries {
		a.report.Add(epoch, i, a.queue.Load())
	}
	return a
}

// failTime is how long a sick worker or a poison payload takes to fail a task.
const failTime = time.Millisecond

// runTime returns how long a task takes on an agent now and whether it succeeds.
func (p *Player) runTime(a *agent, key specifier.TaskKey) (time.Duration, bool) {
	job := p.jobs[key.Job]
	run := job.trace.Run(job.index[key.Task])
	if job.trace.Poison {
		return failTime, false
	}
	for _, fault := range p.trace.Faults {
		if !fault.Covers(p.time.elapsed()) || fault.Worker != a.index {
			continue
		}
		switch fault.Kind {
		case tracer.BlackHole:
			return failTime, false
		case tracer.Straggler:
			run = time.Duration(float64(run) * fault.Factor)
		}
	}
	return run, true
}
