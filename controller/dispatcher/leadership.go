package dispatcher

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/container"
	"oleandertally/core/specifier"
)

// reset deletes the state that only a leader has. Pending calls get no reply: their entries see that the stream ends and call the
// next leader.
func (d *Dispatcher) reset() {
	d.leading = false
	d.epochs = make(map[string]uint64)
	d.recoveryUntil = time.Time{}
	d.jobs, d.calls = make(map[string]*job), make(map[waiter]*job)
	d.agents, d.streams = make(map[string]*agent), make(map[Stream]*agent)
	d.agentsByName, d.touched = nil, nil
	d.pools, d.poolList = make(map[string]*pool), nil
	d.orphans, d.unclaimedEnds = make(map[string]*run), make(map[string]specifier.RunEnd)
	d.waitingTasks, d.heldJobs, d.announcer = 0, nil, announcer{}
	d.timers = container.Heap[timer]{Less: earlier}
	d.manifestWaiters, d.orders = make(map[uint64][]waiter), make(map[*agent]*specifier.LeaseOrder)
	d.orderedAgents, d.rejectedEnds, d.unrecordedBytes = nil, nil, 0
	d.evacuations, d.surveyAt, d.strandedTasks = nil, time.Time{}, nil
}

// becomeLeader restores the recorded jobs that have not ended, and begins the recovery: no task is started before the agents have
// listed their runs.
func (d *Dispatcher) becomeLeader(term uint64) {
	d.reset()
	d.leading, d.term, d.clockAdvancedAt, d.leadingSince = true, term, d.now, d.now
	d.trusting = d.announces() && d.Recorder.Announcing()
	d.announcer.stableAt = d.now.Add(announceOnAfter)
	d.wake(d.announcer.stableAt, timer{})
	d.emit(LogEvent{Event: "QueuesLed", Count: len(d.Recorder.EnrolledAgents())})
	if len(d.Recorder.EnrolledAgents()) > 0 {
		d.recoveryUntil = d.now.Add(d.Settings.GrantSpan + d.Settings.GrantMargin)
		d.wake(d.recoveryUntil, timer{})
		d.wake(d.endsListedUntil(), timer{})
	}
	d.restoreEvacuations()
	for _, id := range d.Recorder.OpenJobs() {
		record := d.Recorder.Job(id)
		j := newJob(record.Job, d.Recorder.QueueOf(record), d.now, 1)
		j.recorded = true
		j.started = record.State == specifier.JobRunning
		d.jobs[id] = j
		d.hold(j)
		j.eachTask(func(t *task) {
			if record.Done[t.stepNumber][t.index] {
				t.state = taskDone
				j.openTasks[t.stepNumber]--
				j.remaining--
			}
		})
		d.enqueueUnblocked(j)
	}
}

// fenceTermFactor multiplies the term in a fencing token, so that a later leader's tokens are always higher.
const fenceTermFactor = 1 << 16

// fence returns the fencing token of the orders to an agent. The token rises with each process of the agent, so that a worker carries
// out no start of an earlier process.
func (d *Dispatcher) fence(a *agent) uint64 { return d.term*fenceTermFactor + d.epochs[a.name] }

// endsListedUntil returns when a recovering leader stops waiting for agents whose workers have not listed all their ends. A worker lists
// several pages a second.
func (d *Dispatcher) endsListedUntil() time.Time {
	return d.recoveryUntil.Add(d.Settings.GrantSpan + d.Settings.GrantMargin)
}

// endsMissing reports whether an agent's worker may hold ends of runs that this leader does not know, which no expiry of a lease has made void.
func (d *Dispatcher) endsMissing(a *agent) bool {
	return a != nil && a.endsCut && !a.settled && d.now.Before(a.grantUntil.Add(d.Settings.GrantMargin)) && d.now.Before(d.endsListedUntil())
}

// endRecovery ends the wait of a new leader when every enrolled agent has listed its runs, or at recoveryUntil, when the grants of
// earlier leaders have ended, and a little later while ends are missing. An agent that can't hold a lease any more is then dismissed.
func (d *Dispatcher) endRecovery() {
	if d.recoveryUntil.IsZero() {
		return
	}
	late := !d.now.Before(d.recoveryUntil)
	for _, name := range d.Recorder.EnrolledAgents() {
		a := d.agents[name]
		if a != nil && a.listed && a.settled {
			continue
		}
		if !late || d.endsMissing(a) {
			return
		}
		if a == nil || !d.now.Before(a.grantUntil.Add(d.Settings.GrantMargin)) {
			d.propose(specifier.QueueCommand{Dismiss: name})
		}
	}
	d.recoveryUntil = time.Time{}
	d.releaseHeld()
	d.emit(LogEvent{Event: "AgentsListed", Count: len(d.agents)})
	for _, name := range slices.Sorted(maps.Keys(d.orphans)) {
		d.scheduleOrphanCheck(d.orphans[name])
	}
}

// hold keeps a job that may be running at an agent that has not answered from starting anything before the recovery has ended.
func (d *Dispatcher) hold(j *job) {
	if !d.recoveryUntil.IsZero() {
		j.held = true
		d.heldJobs = append(d.heldJobs, j)
	}
}

// releaseHeld queues the tasks of the held jobs.
func (d *Dispatcher) releaseHeld() {
	held := d.heldJobs
	d.heldJobs = nil
	for _, j := range held {
		j.held = false
		d.enqueueUnblocked(j)
	}
}
