package coordinator_test

import (
	"time"

	"oleandertally/agent/executor"
	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

func (c *cluster) killEntry(e *entryNode) {
	e.alive = false
	for _, a := range c.agents {
		s := c.stream(e, a)
		c.disconnect(s, len(s.toAgent))
	}
	for _, other := range c.entries {
		for waiter, question := range other.questions {
			if question.from == e {
				delete(other.questions, waiter)
			}
		}
	}
	c.failQuestions(e)
}

// failQuestions fails the questions of other entries that wait for an answer of e.
func (c *cluster) failQuestions(e *entryNode) {
	questions := e.questions
	e.questions = make(map[coordinator.Waiter]ownerQuestion)
	for _, waiter := range sortedKeys(questions) {
		if question := questions[waiter]; question.from.alive && question.from != e {
			c.stepEntry(question.from, coordinator.OwnerAnswered{Job: question.job, Owner: e.id, Unavailable: true})
		}
	}
}

func (c *cluster) killAgent(a *agentNode) {
	a.alive = false
	for _, e := range c.entries {
		c.disconnect(c.stream(e, a), 0)
	}
}

// recordDown records an incarnation as Down, as the controllers do when its lease expires.
func (c *cluster) recordDown(id specifier.Identity) { c.apply(specifier.EndMember{Identity: id}) }

// tick advances the clock to the next deadline of any process, by at most step, and expires what is due.
func (c *cluster) tick(step time.Duration) {
	target := c.now.Add(step)
	for _, e := range c.entries {
		if next := e.machine.Next(); e.alive && !next.IsZero() && next.Before(target) {
			target = maxTime(next, c.now)
		}
	}
	for _, a := range c.agents {
		if next := a.machine.Next(); a.alive && !next.IsZero() && next.Before(target) {
			target = maxTime(next, c.now)
		}
	}
	if target.Equal(c.now) {
		c.stalledTicks++
		if c.stalledTicks > 2000 {
			for _, e := range c.entries {
				if next := e.machine.Next(); e.alive && !next.IsZero() && !next.After(c.now) {
					c.t.Fatalf("%s is due at %v, now %v, and makes no progress: scheduler %v", e.id, next, c.now, e.machine.Scheduler.Next())
				}
			}
			for _, a := range c.agents {
				if next := a.machine.Next(); a.alive && !next.IsZero() && !next.After(c.now) {
					c.t.Fatalf("%s is due at %v, now %v, and makes no progress", a.id, next, c.now)
				}
			}
		}
	} else {
		c.stalledTicks = 0
	}
	c.now = target
	for _, e := range c.entries {
		if next := e.machine.Next(); e.alive && !next.IsZero() && !next.After(c.now) {
			c.perform(e, e.machine.Expire(c.now))
		}
	}
	for _, a := range c.agents {
		if next := a.machine.Next(); a.alive && !next.IsZero() && !next.After(c.now) {
			c.performAgent(a, a.machine.Expire(c.now))
		}
	}
}

// recoverAll restarts and reconnects every process and runs the cluster until every job's deadline has passed.
func (c *cluster) recoverAll() {
	for i, e := range c.entries {
		e.partitioned = false
		if !e.alive {
			c.recordDown(e.id)
			c.startEntry(i)
		}
	}
	for i, a := range c.agents {
		a.partitioned = false
		if !a.alive {
			c.recordDown(a.id)
			c.startAgent(i)
		}
	}
	for end := c.now.Add(9 * time.Second); c.now.Before(end); {
		c.renew()
		c.connectAll()
		c.publish()
		for _, e := range c.entries {
			for len(e.proposals) > 0 {
				c.decide(e, false)
			}
		}
		for _, s := range c.liveStreams() {
			for len(s.toAgent)+len(s.toEntry)+len(s.earlierToAgent) > 0 {
				c.deliver(s)
			}
		}
		for _, a := range c.agents {
			for len(a.running) > 0 {
				c.endRun(a, 0, executor.RunEnded{})
			}
		}
		c.tick(100 * time.Millisecond)
	}
}

// renew extends the lease of every agent that reaches the controllers. An agent or entry that was recorded as Down gets a new incarnation.
func (c *cluster) renew() {
	for _, a := range c.agents {
		if !a.alive || a.partitioned {
			continue
		}
		if known, _ := c.state.Member(a.id.Name); known.Identity != a.id || known.State == specifier.Down {
			for _, e := range c.entries {
				c.disconnect(c.stream(e, a), 0)
			}
			a.id.Incarnation = specifier.Incarnation(c.nextID())
			c.registerAgent(a)
			continue
		}
		a.leaseUntil = c.now.Add(lease)
		c.stepAgent(a, executor.Leased{Until: a.leaseUntil})
	}
	for _, e := range c.entries {
		if known, _ := c.state.Member(e.id.Name); e.alive && !e.partitioned && (known.Identity != e.id || known.State == specifier.Down) {
			c.reincarnate(e)
		}
	}
}

// reincarnate gives an entry that was recorded as Down a new identity. The process and its jobs continue.
func (c *cluster) reincarnate(e *entryNode) {
	for _, a := range c.agents {
		c.disconnect(c.stream(e, a), 0)
	}
	c.failQuestions(e)
	e.id.Incarnation = specifier.Incarnation(c.nextID())
	c.registerEntry(e)
}
