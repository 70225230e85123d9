package coordinator_test

import (
	"time"

	"oleandertally/agent/executor"
	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

func (w *world) killEntry(e *entryNode) {
	e.alive = false
	for _, a := range w.agents {
		l := w.link(e, a)
		w.disconnect(l, len(l.toAgent))
	}
	for _, other := range w.entries {
		for waiter, question := range other.asks {
			if question.from == e {
				delete(other.asks, waiter)
			}
		}
	}
	w.breakAsks(e)
}

// breakAsks ends the questions that wait at e.
func (w *world) breakAsks(e *entryNode) {
	asks := e.asks
	e.asks = make(map[coordinator.Waiter]ask)
	for _, waiter := range sorted(asks) {
		if question := asks[waiter]; question.from.alive && question.from != e {
			w.entry(question.from, coordinator.OwnerAnswered{Job: question.job, Owner: e.id, Unavailable: true})
		}
	}
}

func (w *world) killAgent(a *agentNode) {
	a.alive = false
	for _, e := range w.entries {
		w.disconnect(w.link(e, a), 0)
	}
}

// end records a run as down, which the controllers do once its lease is over.
func (w *world) end(id specifier.Identity) { w.apply(specifier.EndMember{Identity: id}) }

// tick moves the clock to the next deadline of any process, at most by step, and handles it.
func (w *world) tick(step time.Duration) {
	target := w.now.Add(step)
	for _, e := range w.entries {
		if next := e.machine.Next(); e.alive && !next.IsZero() && next.Before(target) {
			target = maxTime(next, w.now)
		}
	}
	for _, a := range w.agents {
		if next := a.machine.Next(); a.alive && !next.IsZero() && next.Before(target) {
			target = maxTime(next, w.now)
		}
	}
	if target.Equal(w.now) {
		w.stuck++
		if w.stuck > 2000 {
			for _, e := range w.entries {
				if next := e.machine.Next(); e.alive && !next.IsZero() && !next.After(w.now) {
					w.t.Fatalf("%s is due at %v, now %v, and makes no progress: scheduler %v", e.id, next, w.now, e.machine.Scheduler.Next())
				}
			}
			for _, a := range w.agents {
				if next := a.machine.Next(); a.alive && !next.IsZero() && !next.After(w.now) {
					w.t.Fatalf("%s is due at %v, now %v, and makes no progress", a.id, next, w.now)
				}
			}
		}
	} else {
		w.stuck = 0
	}
	w.now = target
	for _, e := range w.entries {
		if next := e.machine.Next(); e.alive && !next.IsZero() && !next.After(w.now) {
			w.perform(e, e.machine.Expire(w.now))
		}
	}
	for _, a := range w.agents {
		if next := a.machine.Next(); a.alive && !next.IsZero() && !next.After(w.now) {
			w.performAgent(a, a.machine.Expire(w.now))
		}
	}
}

// settle repairs everything and runs until every deadline is over.
func (w *world) settle() {
	for i, e := range w.entries {
		e.cut = false
		if !e.alive {
			w.end(e.id)
			w.startEntry(i)
		}
	}
	for i, a := range w.agents {
		a.cut = false
		if !a.alive {
			w.end(a.id)
			w.startAgent(i)
		}
	}
	for end := w.now.Add(9 * time.Second); w.now.Before(end); {
		w.renew()
		w.linkAll()
		w.publish()
		for _, e := range w.entries {
			for len(e.pending) > 0 {
				w.decide(e, false)
			}
		}
		for _, l := range w.pairs() {
			for len(l.toAgent)+len(l.toEntry)+len(l.oldAgent) > 0 {
				w.deliver(l)
			}
		}
		for _, a := range w.agents {
			for len(a.running) > 0 {
				w.endRun(a, 0, executor.RunEnded{})
			}
		}
		w.tick(100 * time.Millisecond)
	}
}

// renew extends the lease of every connected agent; one that was recorded as down is a new run.
func (w *world) renew() {
	for _, a := range w.agents {
		if !a.alive || a.cut {
			continue
		}
		if known, _ := w.state.Member(a.id.Name); known.Identity != a.id || known.State == specifier.Down {
			for _, e := range w.entries {
				w.disconnect(w.link(e, a), 0)
			}
			a.id.Incarnation = specifier.Incarnation(w.next())
			w.attend(a)
			continue
		}
		a.until = w.now.Add(lease)
		w.agent(a, executor.Leased{Until: a.until})
	}
	for _, e := range w.entries {
		if known, _ := w.state.Member(e.id.Name); e.alive && !e.cut && (known.Identity != e.id || known.State == specifier.Down) {
			w.reincarnate(e)
		}
	}
}

// reincarnate gives an entry that was recorded as down a new identity; its jobs go on.
func (w *world) reincarnate(e *entryNode) {
	for _, a := range w.agents {
		w.disconnect(w.link(e, a), 0)
	}
	w.breakAsks(e)
	e.id.Incarnation = specifier.Incarnation(w.next())
	w.join(e)
}
