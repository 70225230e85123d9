package simulator

import (
	"time"

	"oleandertally/controller/dispatcher"
	"oleandertally/core/specifier"
)

// fakeCaller hands in one job through an entry, as often as it takes.
type fakeCaller struct {
	world     *world
	id        string
	transient bool
	stream    dispatcher.Stream
	leader    *fakeLeader
	term      uint64
	lost      bool // a leader that was lost may have acted on it
	refused   bool // with the promise that it never ran
	done      bool
	state     specifier.QueueState
	accepted  bool
	began     time.Time
}

// kept reports whether the job of that ID is recorded.
func (w *world) kept(id string) bool {
	for _, caller := range w.jobs {
		if caller.id == id {
			return !caller.transient
		}
	}
	return false
}

func (c *fakeCaller) begin() {
	c.began = c.world.now
	c.send()
}

// send hands the job to the leader, and looks after it until it is answered.
func (c *fakeCaller) send() {
	w := c.world
	if c.done {
		return
	}
	if c.leader != nil && (w.leading != c.leader.index || c.leader.term != c.term) {
		gone, stream := c.leader, c.stream
		c.leader, c.lost = nil, true
		w.after(w.span(0, 300*time.Millisecond), func() { gone.step(dispatcher.CallerDisconnected{Stream: stream}) })
	}
	if c.leader == nil && w.leading >= 0 {
		lastStream++
		c.stream, c.leader, c.term = lastStream, w.leaders[w.leading], w.leaders[w.leading].term
		leader, stream := c.leader, c.stream
		w.after(w.span(time.Millisecond, 4*time.Millisecond), func() {
			leader.step(dispatcher.CallReceived{Stream: stream, Sequence: 1, Call: specifier.QueueCall{Verb: specifier.SubmitQueued, Host: queueHost, Path: queuePrefix + c.id,
				TimeLeft: callerWait, Age: w.now.Sub(c.began), Job: specifier.QueuedJob{Transient: c.transient, Content: c.id,
					Steps: []specifier.Step{{Count: 3, Resources: specifier.Resources{MilliCores: 1500, Memory: 1}, Estimate: 250 * time.Millisecond},
						{Count: 1, Resources: specifier.Resources{MilliCores: 1000, Memory: 1}, Estimate: 250 * time.Millisecond, After: []int{0}}}}}})
		})
	}
	w.after(resendAfter, c.send)
}

func (c *fakeCaller) reply(leader *fakeLeader, reply dispatcher.Reply) {
	w := c.world
	if c.done || reply.Stream != c.stream || leader != c.leader {
		return
	}
	w.tell("job %s is answered: result %d state %d %s", c.id, reply.Reply.Result, reply.Reply.State, reply.Reply.Detail)
	switch reply.Reply.Result {
	case specifier.QueueOK:
		c.done, c.accepted, c.state = true, true, reply.Reply.State
	case specifier.QueueRefused:
		c.done, c.refused = true, !c.lost
	case specifier.QueueUnavailable:
		c.leader = nil
	default:
		w.broken("job %s: result %d", c.id, reply.Reply.Result)
	}
}

// check compares the job's answer with what ran.
func (c *fakeCaller) check() {
	c.world.t.Helper()
	switch {
	case !c.done:
		c.world.broken("job %s has no answer", c.id)
	case c.refused && c.world.started[c.id]:
		c.world.broken("job %s was refused as not run, and a task of it started", c.id)
	}
}
