package simulator

import (
	"strings"
	"time"

	"oleandertally/controller/dispatcher"
	"oleandertally/core/specifier"
)

// cancelledRunTime is longer than a schedule, so that a run of a cancelled job ends only if it is stopped.
const cancelledRunTime = time.Minute

// fakeCanceller cancels the job of a caller, as often as needed until the cancellation is acknowledged.
type fakeCanceller struct {
	world        *world
	caller       *fakeCaller
	leader       *fakeLeader
	stream       dispatcher.Stream
	acknowledged bool
}

// cancel sends the cancellation to the leader, again and again until it is acknowledged.
func (c *fakeCanceller) cancel() {
	w := c.world
	if c.acknowledged {
		return
	}
	if w.leaderIndex >= 0 && c.caller.accepted {
		lastStreamID++
		c.stream, c.leader = lastStreamID, w.leaders[w.leaderIndex]
		leader, stream := c.leader, c.stream
		w.after(w.randomDuration(time.Millisecond, 4*time.Millisecond), func() {
			leader.step(dispatcher.CallReceived{Stream: stream, Sequence: 1, Call: specifier.QueueCall{Verb: specifier.CancelQueued, Host: queueHost, Path: c.caller.path(), TimeLeft: callerTimeLeft}})
		})
	}
	w.after(resendInterval, c.cancel)
}

func (c *fakeCanceller) handleReply(leader *fakeLeader, reply dispatcher.Reply) {
	if leader != c.leader || reply.Stream != c.stream || c.acknowledged || reply.Reply.Result == specifier.QueueUnavailable {
		return
	}
	if reply.Reply.Result != specifier.QueueOK || reply.Reply.State != specifier.JobCancelled {
		c.world.failf("the cancellation of job %s is answered: result %d state %d", c.caller.id, reply.Reply.Result, reply.Reply.State)
	}
	c.acknowledged = true
	c.world.logf("the cancellation of job %s is acknowledged", c.caller.id)
}

// check fails if the job was not cancelled or a run of it goes on.
func (c *fakeCanceller) check() {
	c.world.t.Helper()
	if !c.acknowledged {
		c.world.failf("the cancellation of job %s is not acknowledged", c.caller.id)
	}
	for task, run := range c.world.running {
		if strings.HasPrefix(task, c.caller.id+".") {
			c.world.failf("run %v of cancelled job %s goes on at %s", run.key, c.caller.id, run.worker.name)
		}
	}
}
