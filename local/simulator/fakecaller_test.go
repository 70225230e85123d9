package simulator

import (
	"cmp"
	"time"

	"oleandertally/controller/dispatcher"
	"oleandertally/core/specifier"
)

// fakeCaller submits one job through an entry, as often as needed until it is answered.
type fakeCaller struct {
	world      *world
	id         string
	prefix     string // of its queue; "" for queuePrefix
	transient  bool
	runTime    time.Duration // of each of its tasks; 0 for a random time
	width      int           // small tasks in its first step; 0 for a step of a few large ones
	stream     dispatcher.Stream
	leader     *fakeLeader
	term       uint64
	mayHaveRun bool      // a former leader may have accepted the job
	sentBefore bool      // by the present entry
	quietUntil time.Time // the caller sends nothing before, because its entry was lost
	refused    bool      // with the guarantee that no task of the job ran
	done       bool
	state      specifier.QueueState
	accepted   bool
	startedAt  time.Time
}

// estimate returns the estimated run time of the caller's tasks.
func (c *fakeCaller) estimate() time.Duration {
	if c.runTime > 0 {
		return c.runTime
	}
	return 250 * time.Millisecond
}

// path returns the path of the caller's job.
func (c *fakeCaller) path() string { return cmp.Or(c.prefix, queuePrefix) + c.id }

// steps returns the steps of the caller's job. The second one is a single task that waits for the first step.
func (c *fakeCaller) steps() []specifier.Step {
	first := specifier.Step{Count: 3, Resources: specifier.Resources{MilliCores: 1500, Memory: 1}, Estimate: c.estimate()}
	if c.width > 0 {
		first.Count, first.Resources.MilliCores = c.width, smallTaskCores
	}
	return []specifier.Step{first, {Count: 1, Resources: specifier.Resources{MilliCores: 1000, Memory: 1}, Estimate: c.estimate(), After: []int{0}}}
}

// runTimeOf returns how long a run of a job takes.
func (w *world) runTimeOf(id string) time.Duration {
	for _, caller := range w.callers {
		if caller.id == id && caller.runTime > 0 {
			return caller.runTime
		}
	}
	return w.runTime()
}

// isRecorded reports whether the replicated log records the job, which is so unless it is transient.
func (w *world) isRecorded(id string) bool {
	for _, caller := range w.callers {
		if caller.id == id {
			return !caller.transient
		}
	}
	return false
}

func (c *fakeCaller) start() {
	c.startedAt = c.world.now
	c.submit()
}

// submit sends the job to the leader, and again after a change of leader, until it is answered.
func (c *fakeCaller) submit() {
	w := c.world
	if c.done {
		return
	}
	if w.now.Before(c.quietUntil) {
		w.after(c.quietUntil.Sub(w.now), c.submit)
		return
	}
	if c.leader != nil && (w.leaderIndex != c.leader.index || c.leader.term != c.term) {
		former, stream := c.leader, c.stream
		c.leader, c.mayHaveRun = nil, true
		w.after(w.randomDuration(0, 300*time.Millisecond), func() { former.step(dispatcher.CallerDisconnected{Stream: stream}) })
	}
	if c.leader == nil && w.leaderIndex >= 0 {
		lastStreamID++
		c.stream, c.leader, c.term = lastStreamID, w.leaders[w.leaderIndex], w.leaders[w.leaderIndex].term
		leader, stream, sentBefore := c.leader, c.stream, c.sentBefore
		c.sentBefore = true
		w.after(w.randomDuration(time.Millisecond, 4*time.Millisecond), func() {
			leader.step(dispatcher.CallReceived{Stream: stream, Sequence: 1, Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: queueHost, Path: c.path(),
				TimeLeft: callerTimeLeft, Age: w.now.Sub(c.startedAt), Resubmitted: sentBefore, Job: specifier.QueuedJob{Transient: c.transient, Content: c.id, Steps: c.steps()}}})
		})
	}
	w.after(resendInterval, c.submit)
}

// loseEntry ends the caller's entry. The caller sends the job again through another entry, which does not know of the first call. The
// leader may learn late or never that the first call was abandoned.
func (c *fakeCaller) loseEntry() {
	w := c.world
	if c.done || c.startedAt.IsZero() {
		return
	}
	w.logf("job %s loses its entry", c.id)
	if former, stream := c.leader, c.stream; former != nil && w.chance(0.7) {
		w.after(w.randomDuration(0, 500*time.Millisecond), func() { former.step(dispatcher.CallerDisconnected{Stream: stream}) })
	}
	c.leader, c.mayHaveRun, c.sentBefore = nil, true, false
	c.quietUntil = w.now.Add(callerPause + w.randomDuration(0, 100*time.Millisecond))
	c.startedAt = c.quietUntil
}

func (c *fakeCaller) handleReply(leader *fakeLeader, reply dispatcher.Reply) {
	w := c.world
	if c.done || reply.Stream != c.stream || leader != c.leader {
		return
	}
	w.logf("job %s is answered: result %d state %d %s", c.id, reply.Reply.Result, reply.Reply.State, reply.Reply.Detail)
	switch reply.Reply.Result {
	case specifier.QueueOK:
		c.done, c.accepted, c.state = true, true, reply.Reply.State
	case specifier.QueueRefused:
		c.done, c.refused = true, !c.mayHaveRun
	case specifier.QueueUnavailable:
		c.leader = nil
	default:
		w.failf("job %s: result %d", c.id, reply.Reply.Result)
	}
}

// check compares the job's answer with the tasks that ran.
func (c *fakeCaller) check() {
	c.world.t.Helper()
	switch {
	case !c.done:
		c.world.failf("job %s has no answer", c.id)
	case c.refused && c.world.started[c.id]:
		c.world.failf("job %s was refused as not run, and a task of it started", c.id)
	}
}
