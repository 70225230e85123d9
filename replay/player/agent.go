package player

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/classifier"
	"oleandertally/dispatch/orderer"
	"oleandertally/dispatch/scheduler"
	"oleandertally/replay/tracer"
)

// agent is a fake agent with the task queue that real agents use.
type agent struct {
	player       *Player
	member       specifier.Member
	index        int // number of the worker in the trace
	zone         int
	queue        orderer.Queue
	owners       map[specifier.TaskKey]*entry // entry that sent each task
	loadReporter orderer.LoadReporter[int]    // by index of the entry
	classifier   classifier.Classifier
	pushCount    int
	down         bool
	wakeAt       time.Time
}

// assign adds a task of an entry to the queue.
func (a *agent) assign(from *entry, item scheduler.Item) {
	if a.down {
		return
	}
	order := item.Order
	a.pushCount++
	if a.player.variant.FIFO {
		order.At = epoch.Add(time.Duration(a.pushCount))
	}
	task := orderer.QueuedTask{Key: order, Deadline: item.Deadline, Profile: item.Profile, Team: item.Team,
		Class: a.classifier.Class(item.Profile, a.player.profile(item.Profile).TypicalTime)}
	a.owners[item.Key] = from
	a.queue.Push(a.player.time.now, task)
	a.step()
}

// withdraw removes the queued tasks of a job.
func (a *agent) withdraw(job specifier.JobID) {
	for _, task := range a.queue.Remove(job) {
		delete(a.owners, task.TaskKey())
	}
	a.step()
}

// step starts the tasks that may start, and reports the load to the entries whose view of it is outdated.
func (a *agent) step() {
	now := a.player.time.now
	if a.down {
		return
	}
	a.startWaiting()
	for _, i := range a.loadReporter.Due(now, a.queue.Load()) {
		a.send(a.player.entries[i], a.player.entries[i].dispatch)
	}
	if next := a.queue.Next(); !next.IsZero() && !next.Equal(a.wakeAt) {
		a.wakeAt = next
		a.player.time.at(next, a.step)
	}
}

// startWaiting refuses the queued tasks whose deadline has passed and starts tasks on the free slots.
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
	a.send(owner, func() { owner.taskRefused(a, key) })
}

func (a *agent) start(task orderer.QueuedTask) {
	run, ok := a.player.runTime(a, task.TaskKey())
	a.player.time.after(run, func() { a.finish(task, run, ok) })
}

func (a *agent) finish(task orderer.QueuedTask, run time.Duration, ok bool) {
	if a.down {
		return
	}
	key := task.TaskKey()
	a.queue.Done(a.player.time.now, key)
	a.player.recordRun(key, run)
	if ok {
		a.classifier.Record(task.Profile, run)
	}
	owner := a.owners[key]
	delete(a.owners, key)
	a.startWaiting()
	a.send(owner, func() { owner.taskDone(a, key, ok, run) })
	a.loadReporter.TaskEnded()
	a.step()
}

// send sends a message to an entry, together with the agent's load.
func (a *agent) send(to *entry, deliver func()) {
	load := a.queue.Load()
	a.loadReporter.ReportSent(a.player.time.now, to.index, load)
	a.player.send(a.zone, to.zone, func() {
		to.scheduler.UpdateLoad(a.player.time.now, a.member.Identity, load)
		deliver()
	})
}

func newAgent(p *Player, index, zone int, member specifier.Member) *agent {
	a := &agent{player: p, index: index, zone: zone, member: member, queue: orderer.Queue{Slots: member.Slots},
		owners: make(map[specifier.TaskKey]*entry)}
	for i := range p.trace.Entries {
		a.loadReporter.Add(epoch, i, a.queue.Load())
	}
	return a
}

// failRunTime is the run time of a task that fails on an unhealthy worker or because of a poison payload.
const failRunTime = time.Millisecond

// runTime returns the run time of a task that starts on an agent now, and whether the task succeeds.
func (p *Player) runTime(a *agent, key specifier.TaskKey) (time.Duration, bool) {
	job := p.jobs[key.Job]
	run := job.trace.Run(job.index[key.Task])
	if job.trace.Poison {
		return failRunTime, false
	}
	for _, fault := range p.trace.Faults {
		if !fault.Covers(p.time.elapsed()) || fault.Worker != a.index {
			continue
		}
		switch fault.Kind {
		case tracer.BlackHole:
			return failRunTime, false
		case tracer.Straggler:
			run = time.Duration(float64(run) * fault.Factor)
		}
	}
	return run, true
}
