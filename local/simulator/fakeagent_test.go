package simulator

import (
	"time"

	"oleandertally/agent/leaseholder"
	"oleandertally/controller/dispatcher"
	"oleandertally/core/specifier"
)

// fakeAgent is an agent process with a real lease holder and a simulated stream to the leader.
type fakeAgent struct {
	world             *world
	name              string
	worker            *fakeWorker
	machine           *leaseholder.LeaseHolder
	incarnation       int
	oldVersion        bool // it knows nothing of zones
	stream            dispatcher.Stream
	leader            *fakeLeader // nil while no stream is open
	term              uint64      // the leader's term when the stream opened
	partitionedUntil  time.Time
	slowUntil         time.Time // until then, messages from and to the leader take long
	streamBroken      bool      // the stream has lost a message, so later ones are lost too
	wakeAt            time.Time
	lastReportArrival time.Time              // arrival of the last message to the leader; later messages arrive after it
	lastOrderArrival  time.Time              // arrival of the last message from the leader
	reported          specifier.LeasedWorker // the worker of the last report that has one
}

var lastStreamID dispatcher.Stream

func newFakeAgent(w *world, name, zone string, oldVersion bool) *fakeAgent {
	a := &fakeAgent{world: w, name: name}
	a.worker = newFakeWorker(w, name)
	a.worker.zone, a.oldVersion = zone, oldVersion
	a.worker.announce = a.announceWorker
	a.start()
	return a
}

func (a *fakeAgent) start() {
	a.incarnation++
	a.leader = nil
	a.machine = &leaseholder.LeaseHolder{Name: a.name, Incarnation: specifier.Incarnation(a.incarnation), GrantSpan: dispatcher.Defaults().GrantSpan,
		MaxLease: time.Second, StartedAt: a.world.now}
	if !a.oldVersion {
		a.machine.Zone = a.worker.zone
	}
	a.maintainStream()
	incarnation := a.incarnation
	a.world.after(a.world.randomDuration(0, time.Second), func() {
		if a.incarnation == incarnation {
			a.announceWorker()
		}
	})
}

// restart kills the process and later starts a new one without state.
func (a *fakeAgent) restart() {
	w := a.world
	w.logf("%s is killed", a.name)
	a.incarnation++
	a.closeStream()
	a.leader, a.machine = nil, nil
	w.after(w.randomDuration(50*time.Millisecond, 800*time.Millisecond), a.start)
}

// partition cuts the agent off from the controllers for a while. Its worker, on the same host, stays reachable.
func (a *fakeAgent) partition() {
	w := a.world
	a.partitionedUntil = w.now.Add(w.randomDuration(200*time.Millisecond, 3*time.Second))
	w.logf("%s is partitioned", a.name)
	if a.leader != nil {
		w.after(400*time.Millisecond, a.disconnect)
	}
}

// linkDelay returns how long a message between the agent and the leader takes.
func (a *fakeAgent) linkDelay() time.Duration {
	if a.world.now.Before(a.slowUntil) {
		return a.world.randomDuration(time.Millisecond, maxSlowDelay)
	}
	return a.world.randomDuration(time.Millisecond, 4*time.Millisecond)
}

// disconnect closes the stream and reports this to the lease holder.
func (a *fakeAgent) disconnect() {
	a.closeStream()
	if a.machine != nil {
		a.step(leaseholder.Disconnected{})
	}
}

func (a *fakeAgent) closeStream() {
	if a.leader == nil {
		return
	}
	leader, stream := a.leader, a.stream
	a.leader = nil
	// The leader gets every report of a stream before it learns of the stream's end.
	ends := latest(a.world.now.Add(a.world.randomDuration(0, 500*time.Millisecond)), a.lastReportArrival)
	a.world.after(ends.Sub(a.world.now), func() { leader.step(dispatcher.AgentDisconnected{Stream: stream}) })
}

// maintainStream checks the stream at random intervals: it opens one if none is open, and now and then closes one to a
// former leader.
func (a *fakeAgent) maintainStream() {
	w, incarnation := a.world, a.incarnation
	w.after(w.randomDuration(5*time.Millisecond, 60*time.Millisecond), func() {
		if a.incarnation != incarnation {
			return
		}
		if a.leader != nil && (w.leaderIndex != a.leader.index || a.term != a.leader.term) && w.chance(0.3) {
			a.disconnect()
		}
		if a.leader == nil && w.leaderIndex >= 0 && !w.now.Before(a.partitionedUntil) {
			lastStreamID++
			a.stream, a.leader, a.term = lastStreamID, w.leaders[w.leaderIndex], w.leaders[w.leaderIndex].term
			a.streamBroken = false
			a.step(leaseholder.Connected{})
		}
		a.maintainStream()
	})
}

func (a *fakeAgent) announceWorker() {
	if a.machine == nil || !a.worker.up {
		return
	}
	a.worker.sequence++
	a.step(leaseholder.Announced{Sequence: a.worker.sequence, Worker: a.worker.describe()})
}

// announceForeign delivers an announcement of another writer: of a worker elsewhere, or of another incarnation of this one.
func (a *fakeAgent) announceForeign() {
	if a.machine == nil {
		return
	}
	worker, random := a.worker.describe(), a.worker.random
	worker.Capacity.MilliCores *= 1 + random.IntN(100)
	worker.StartedAt = worker.StartedAt.Add(time.Duration(random.Int64N(int64(20*time.Second))) - 10*time.Second)
	if random.IntN(2) == 0 {
		worker.ID = "worker-of-another-writer"
	}
	a.world.logf("%s: another writer announces %s", a.name, worker.ID)
	a.step(leaseholder.Announced{Sequence: random.Uint64N(10), Worker: worker})
}

// check fails unless the agent has reported the present incarnation of its worker.
func (a *fakeAgent) check() {
	reported, worker := a.reported, a.worker.describe()
	if reported.ID != worker.ID || !reported.StartedAt.Equal(worker.StartedAt) || reported.Capacity != worker.Capacity || reported.Draining {
		a.world.failf("%s uses the worker %+v, but its own is %+v", a.name, reported, worker)
	}
}

// deliverOrder sends a message of the leader to the agent. Messages in transit are lost when the stream ends.
func (a *fakeAgent) deliverOrder(leader *fakeLeader, order dispatcher.Order) {
	w, incarnation := a.world, a.incarnation
	if a.leader != leader || order.Stream != a.stream {
		return
	}
	if a.oldVersion {
		order.Order.Evacuated, order.Order.EvacuationVersion = false, 0
	}
	arrives := latest(w.now.Add(a.linkDelay()), a.lastOrderArrival)
	a.lastOrderArrival = arrives
	w.after(arrives.Sub(w.now), func() {
		a.streamBroken = a.streamBroken || w.now.Before(a.partitionedUntil)
		if a.incarnation == incarnation && a.leader == leader && a.stream == order.Stream && !a.streamBroken {
			a.step(leaseholder.OrderReceived{Order: order.Order})
		}
	})
}

func (a *fakeAgent) step(event leaseholder.Event) { a.perform(a.machine.Step(a.world.now, event)) }

func (a *fakeAgent) perform(actions []leaseholder.Action) {
	w, incarnation := a.world, a.incarnation
	deliver := func(event leaseholder.Event) {
		if a.incarnation == incarnation {
			a.step(event)
		}
	}
	for _, action := range actions {
		switch action := action.(type) {
		case leaseholder.Report:
			a.sendReport(action.Report)
		case leaseholder.Start:
			a.worker.start(action, deliver)
		case leaseholder.Stop:
			a.worker.stop(action, deliver)
		case leaseholder.Poll:
			a.worker.poll(action, deliver)
		case leaseholder.Identify:
			a.worker.identify(action, deliver)
		case leaseholder.LogEvent:
			w.logf("%s: %s task=%s run=%d %s", a.name, action.Event, action.Task, action.Run, action.Detail)
		}
	}
	a.setTimer()
}

func (a *fakeAgent) sendReport(report specifier.LeaseReport) {
	if report.Worker != nil {
		a.reported = *report.Worker
	}
	w, leader, stream := a.world, a.leader, a.stream
	a.streamBroken = a.streamBroken || w.now.Before(a.partitionedUntil)
	if leader == nil || a.streamBroken {
		return
	}
	arrives := latest(w.now.Add(a.linkDelay()), a.lastReportArrival)
	a.lastReportArrival = arrives
	w.after(arrives.Sub(w.now), func() { leader.step(dispatcher.ReportReceived{Stream: stream, Report: report}) })
}

func (a *fakeAgent) setTimer() {
	next := a.machine.Next()
	if next.IsZero() || next.Equal(a.wakeAt) {
		return
	}
	a.wakeAt = next
	incarnation := a.incarnation
	a.world.after(max(next.Sub(a.world.now), 0), func() {
		if a.incarnation == incarnation {
			a.wakeAt = time.Time{}
			a.perform(a.machine.Expire(a.world.now))
		}
	})
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
