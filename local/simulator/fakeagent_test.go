package simulator

import (
	"time"

	"oleandertally/agent/leaseholder"
	"oleandertally/controller/dispatcher"
	"oleandertally/core/specifier"
)

// fakeAgent is an agent: its lease holder and its streams.
type fakeAgent struct {
	world    *world
	name     string
	worker   *fakeWorker
	machine  *leaseholder.LeaseHolder
	life     int // of the process
	stream   dispatcher.Stream
	leader   *fakeLeader // nil without a stream
	term     uint64      // of the leader when the stream opened
	cutUntil time.Time
	broken   bool // the stream lost a message: nothing after it arrives either
	wakeAt   time.Time
	upTo     time.Time // when the last message to the leader arrives
	downTo   time.Time
}

var lastStream dispatcher.Stream

func newFakeAgent(w *world, name string) *fakeAgent {
	a := &fakeAgent{world: w, name: name}
	a.worker = newFakeWorker(w, name)
	a.worker.announce = a.announced
	a.start()
	return a
}

func (a *fakeAgent) start() {
	a.life++
	a.leader = nil
	a.machine = &leaseholder.LeaseHolder{Name: a.name, Incarnation: specifier.Incarnation(a.life), GrantSpan: dispatcher.Defaults().GrantSpan,
		MaxLease: time.Second, StartedAt: a.world.now}
	a.seek()
	life := a.life
	a.world.after(a.world.span(0, time.Second), func() {
		if a.life == life {
			a.announced()
		}
	})
}

// restart ends the process at once. The next one knows nothing.
func (a *fakeAgent) restart() {
	w := a.world
	w.tell("%s is killed", a.name)
	a.life++
	a.unlink()
	a.leader, a.machine = nil, nil
	w.after(w.span(50*time.Millisecond, 800*time.Millisecond), a.start)
}

// cut parts the agent from the controllers. Its worker is beside it.
func (a *fakeAgent) cut() {
	w := a.world
	a.cutUntil = w.now.Add(w.span(200*time.Millisecond, 3*time.Second))
	w.tell("%s is cut off", a.name)
	if a.leader != nil {
		w.after(400*time.Millisecond, a.drop)
	}
}

// drop ends the stream after a silence.
func (a *fakeAgent) drop() {
	a.unlink()
	if a.machine != nil {
		a.step(leaseholder.Disconnected{})
	}
}

func (a *fakeAgent) unlink() {
	if a.leader == nil {
		return
	}
	leader, stream := a.leader, a.stream
	a.leader = nil
	a.world.after(a.world.span(0, 500*time.Millisecond), func() { leader.step(dispatcher.AgentDisconnected{Stream: stream}) })
}

// seek looks for the leader now and then.
func (a *fakeAgent) seek() {
	w, life := a.world, a.life
	w.after(w.span(5*time.Millisecond, 60*time.Millisecond), func() {
		if a.life != life {
			return
		}
		if a.leader != nil && (w.leading != a.leader.index || a.term != a.leader.term) && w.chance(0.3) {
			a.drop()
		}
		if a.leader == nil && w.leading >= 0 && !w.now.Before(a.cutUntil) {
			lastStream++
			a.stream, a.leader, a.term = lastStream, w.leaders[w.leading], w.leaders[w.leading].term
			a.broken = false
			a.step(leaseholder.Connected{})
		}
		a.seek()
	})
}

func (a *fakeAgent) announced() {
	if a.machine == nil || !a.worker.up {
		return
	}
	worker := a.worker
	worker.sequence++
	a.step(leaseholder.Announced{Sequence: worker.sequence, Worker: specifier.LeasedWorker{ID: a.name + "-worker", StartedAt: worker.born, Pool: poolName,
		Capacity: specifier.Resources{MilliCores: workerCores, Memory: 1 << 20}}})
}

// order carries a message of the leader to the agent. What is on its way when the stream ends is lost.
func (a *fakeAgent) order(leader *fakeLeader, order dispatcher.Order) {
	w, life := a.world, a.life
	if a.leader != leader || order.Stream != a.stream {
		return
	}
	arrives := later(w.now.Add(w.span(time.Millisecond, 4*time.Millisecond)), a.downTo)
	a.downTo = arrives
	w.after(arrives.Sub(w.now), func() {
		a.broken = a.broken || w.now.Before(a.cutUntil)
		if a.life == life && a.leader == leader && a.stream == order.Stream && !a.broken {
			a.step(leaseholder.OrderReceived{Order: order.Order})
		}
	})
}

func (a *fakeAgent) step(event leaseholder.Event) { a.perform(a.machine.Step(a.world.now, event)) }

func (a *fakeAgent) perform(actions []leaseholder.Action) {
	w, life := a.world, a.life
	answer := func(event leaseholder.Event) {
		if a.life == life {
			a.step(event)
		}
	}
	for _, action := range actions {
		switch action := action.(type) {
		case leaseholder.Report:
			a.report(action.Report)
		case leaseholder.Start:
			a.worker.start(action, answer)
		case leaseholder.Stop:
			a.worker.stop(action, answer)
		case leaseholder.Poll:
			a.worker.hold(action, answer)
		case leaseholder.LogEvent:
			w.tell("%s: %s task=%s run=%d %s", a.name, action.Event, action.Task, action.Run, action.Detail)
		}
	}
	a.arm()
}

func (a *fakeAgent) report(report specifier.LeaseReport) {
	w, leader, stream := a.world, a.leader, a.stream
	a.broken = a.broken || w.now.Before(a.cutUntil)
	if leader == nil || a.broken {
		return
	}
	arrives := later(w.now.Add(w.span(time.Millisecond, 4*time.Millisecond)), a.upTo)
	a.upTo = arrives
	w.after(arrives.Sub(w.now), func() { leader.step(dispatcher.ReportReceived{Stream: stream, Report: report}) })
}

func (a *fakeAgent) arm() {
	next := a.machine.Next()
	if next.IsZero() || next.Equal(a.wakeAt) {
		return
	}
	a.wakeAt = next
	life := a.life
	a.world.after(max(next.Sub(a.world.now), 0), func() {
		if a.life == life {
			a.wakeAt = time.Time{}
			a.perform(a.machine.Expire(a.world.now))
		}
	})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
