package player

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/scheduler"
)

// entry is a fake entry with the scheduler that real entries use.
type entry struct {
	player    *Player
	index     int
	zone      int
	scheduler Scheduler
	wakeAt    time.Time
}

// arrive admits or refuses a job. The tasks of an admitted job are queued once its acceptance is recorded.
func (e *entry) arrive(j *job) {
	if j.ended {
		return
	}
	now := e.player.time.now
	profile := e.player.profile(j.spec.Profile)
	if refusal := e.scheduler.Admit(now, j.spec, profile); refusal != nil {
		e.refuseJob(j, refusal)
		return
	}
	e.player.time.after(acceptDelay, func() { e.enqueue(j) })
	e.player.time.at(j.spec.Deadline, func() { e.endJob(j, TimedOut) })
	if j.trace.CancelMillis > 0 {
		e.player.time.at(epoch.Add(time.Duration(j.trace.CancelMillis)*time.Millisecond), func() { e.endJob(j, Cancelled) })
	}
}

// refuseJob refuses a job. In a trace with Resubmit, the caller submits it to another entry after RetryAfter.
func (e *entry) refuseJob(j *job, refusal *scheduler.Refusal) {
	j.attempts++
	retryAt := e.player.time.now.Add(max(refusal.RetryAfter, 100*time.Millisecond))
	if e.player.trace.Resubmit && retryAt.Before(j.spec.Deadline) {
		next := e.player.entries[(e.index+j.attempts)%len(e.player.entries)]
		e.player.time.at(retryAt, func() { next.arrive(j) })
		return
	}
	e.answer(j, Refused)
}

func (e *entry) enqueue(j *job) {
	if j.ended {
		return
	}
	e.scheduler.Enqueue(e.player.time.now, j.items(e.player.time.now, e.player.variant, service))
	e.dispatch()
}

// dispatch sends the tasks that the scheduler assigns and schedules its next run.
func (e *entry) dispatch() {
	now := e.player.time.now
	for _, assignment := range e.scheduler.Dispatch(now) {
		agent := e.player.agents[assignment.Agent]
		e.player.jobs[assignment.Item.Key.Job].unfinished[agent]++
		e.player.report.Tasks++
		e.player.send(e.zone, agent.zone, func() { agent.assign(e, assignment.Item) })
	}
	if next := e.scheduler.Next(); !next.IsZero() && !next.Equal(e.wakeAt) {
		e.wakeAt = next
		e.player.time.at(next, e.dispatch)
	}
}

func (e *entry) taskDone(from *agent, key specifier.TaskKey, ok bool, run time.Duration) {
	now := e.player.time.now
	e.scheduler.TaskEnded(now, from.member.Identity, key, ok, run)
	for _, id := range e.scheduler.Ejections() {
		e.player.report.Ejected[id.Name]++
	}
	j := e.player.jobs[key.Job]
	j.unfinished[from]--
	if !ok && !j.trace.Poison {
		e.player.report.LostTasks[e.index]++
		j.record.LostTasks++
	}
	if !j.ended {
		if j.remaining--; !ok {
			e.endJob(j, Failed)
		} else if j.remaining == 0 {
			e.endJob(j, Completed)
		}
	}
	e.dispatch()
}

func (e *entry) taskRefused(from *agent, key specifier.TaskKey) {
	e.player.jobs[key.Job].unfinished[from]--
	e.scheduler.TaskRefused(e.player.time.now, from.member.Identity, key)
	e.dispatch()
}

// endJob answers a job once and, unless it is complete, withdraws its unfinished tasks from the agents.
func (e *entry) endJob(j *job, outcome Outcome) {
	if j.ended {
		return
	}
	e.answer(j, outcome)
	if outcome == Completed {
		return
	}
	e.scheduler.RemoveJob(j.spec.ID)
	for _, agent := range e.player.agentList {
		if j.unfinished[agent] > 0 {
			e.player.send(e.zone, agent.zone, func() { agent.withdraw(j.spec.ID) })
		}
	}
	e.dispatch()
}

func (e *entry) answer(j *job, outcome Outcome) {
	j.ended = true
	at := e.player.time.now.Add(callerDelay)
	j.record.Outcome = outcome
	j.record.Response = at.Sub(j.arrivedAt)
	j.record.Late = at.After(j.spec.Deadline.Add(2 * callerDelay))
}

// setMembers gives the scheduler a new membership and fails the jobs whose tasks are lost with an agent.
func (e *entry) setMembers(members []specifier.Member) {
	lost := e.scheduler.SetMembers(e.player.time.now, slices.Clone(members))
	for _, each := range lost {
		e.endJob(e.player.jobs[each.Item.Key.Job], Failed)
	}
	for _, member := range members {
		e.scheduler.SetConnected(e.player.time.now, member.Identity, true)
	}
	e.dispatch()
}
