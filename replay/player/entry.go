package player

import (
	"slices"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/scheduler"
)

// entry is a fake entry around the scheduler that real entries use.
type entry struct {
	player    *Player
	index     int
	zone      int
	scheduler Scheduler
	timer     time.Time
}

// arrive decides on admission; an admitted job is recorded before it is dispatched.
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
	e.player.time.after(acceptDelay, func() { e.accepted(j) })
	e.player.time.at(j.spec.Deadline, func() { e.end(j, TimedOut) })
	if j.trace.CancelMillis > 0 {
		e.player.time.at(epoch.Add(time.Duration(j.trace.CancelMillis)*time.Millisecond), func() { e.end(j, Cancelled) })
	}
}

// refuseJob answers a refusal. In a trace with Resubmit the caller tries another entry after RetryAfter.
func (e *entry) refuseJob(j *job, refusal *scheduler.Refusal) {
	j.attempts++
	again := e.player.time.now.Add(max(refusal.RetryAfter, 100*time.Millisecond))
	if e.player.trace.Resubmit && again.Before(j.spec.Deadline) {
		next := e.player.entries[(e.index+j.attempts)%len(e.player.entries)]
		e.player.time.at(again, func() { next.arrive(j) })
		return
	}
	e.answer(j, Refused)
}

func (e *entry) accepted(j *job) {
	if j.ended {
		return
	}
	e.scheduler.Enqueue(e.player.time.now, j.items(e.player.time.now, e.player.variant, service))
	e.dispatch()
}

// dispatch sends what the scheduler releases and sets the timer for its next run.
func (e *entry) dispatch() {
	now := e.player.time.now
	for _, sent := range e.scheduler.Dispatch(now) {
		to := e.player.agents[sent.Agent]
		e.player.jobs[sent.Item.Key.Job].holders[to]++
		e.player.report.Tasks++
		e.player.send(e.zone, to.zone, func() { to.assign(e, sent.Item) })
	}
	if next := e.scheduler.Next(); !next.IsZero() && !next.Equal(e.timer) {
		e.timer = next
		e.player.time.at(next, e.dispatch)
	}
}

func (e *entry) done(from *agent, key specifier.TaskKey, ok bool, run time.Duration) {
	now := e.player.time.now
	e.scheduler.Done(now, from.member.Identity, key, ok, run)
	for _, id := range e.scheduler.Ejections() {
		e.player.report.Ejected[id.Name]++
	}
	j := e.player.jobs[key.Job]
	j.holders[from]--
	if !ok && !j.trace.Poison {
		e.player.report.LostTasks[e.index]++
		j.record.LostTasks++
	}
	if !j.ended {
		if j.remaining--; !ok {
			e.end(j, Failed)
		} else if j.remaining == 0 {
			e.end(j, Completed)
		}
	}
	e.dispatch()
}

func (e *entry) refused(from *agent, key specifier.TaskKey) {
	e.player.jobs[key.Job].holders[from]--
	e.scheduler.Refused(e.player.time.now, from.member.Identity, key)
	e.dispatch()
}

// end answers a job once and withdraws what agents still hold of it.
func (e *entry) end(j *job, outcome Outcome) {
	if j.ended {
		return
	}
	e.answer(j, outcome)
	if outcome == Completed {
		return
	}
	e.scheduler.Forget(j.spec.ID)
	for _, holder := range e.player.ordered {
		if j.holders[holder] > 0 {
			e.player.send(e.zone, holder.zone, func() { holder.withdraw(j.spec.ID) })
		}
	}
	e.dispatch()
}

func (e *entry) answer(j *job, outcome Outcome) {
	j.ended = true
	at := e.player.time.now.Add(callerDelay)
	j.record.Outcome = outcome
	j.record.Response = at.Sub(j.arrived)
	j.record.Late = at.After(j.spec.Deadline.Add(2 * callerDelay))
}

// setMembers passes on a change of membership and fails the jobs whose tasks are lost with an agent.
func (e *entry) setMembers(members []specifier.Member) {
	lost := e.scheduler.SetMembers(e.player.time.now, slices.Clone(members))
	for _, each := range lost {
		e.end(e.player.jobs[each.Item.Key.Job], Failed)
	}
	for _, member := range members {
		e.scheduler.SetLinked(e.player.time.now, member.Identity, true)
	}
	e.dispatch()
}
