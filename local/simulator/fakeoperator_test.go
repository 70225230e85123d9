package simulator

import (
	"math/rand/v2"
	"time"

	"oleandertally/controller/dispatcher"
	"oleandertally/core/specifier"
)

// lostZoneAnswerShare is the share of the operator's answers that are lost.
const lostZoneAnswerShare = 0.2

// fakeOperator evacuates and restores one zone. It sends each order again until it is acknowledged, and then waits before the next one.
type fakeOperator struct {
	world   *world
	zone    string
	random  *rand.Rand // its own, so that schedules without evacuations stay as they were
	verb    specifier.QueueVerb
	stream  dispatcher.Stream
	leader  *fakeLeader
	waiting bool // for the acknowledgement of verb
	// evacuated is set from the acknowledgement of an evacuation until its withdrawal is sent.
	evacuated bool
}

func (o *fakeOperator) between(low, high time.Duration) time.Duration {
	return low + time.Duration(o.random.Int64N(int64(high-low)+1))
}

// evacuate sends the order to evacuate the zone, unless the faults are over.
func (o *fakeOperator) evacuate() {
	if o.world.faultsEnabled {
		o.begin(specifier.EvacuateZone)
	}
}

func (o *fakeOperator) begin(verb specifier.QueueVerb) {
	o.verb, o.waiting, o.evacuated = verb, true, false
	o.send()
}

// send sends the order to the leader, and again until it is acknowledged.
func (o *fakeOperator) send() {
	w := o.world
	if !o.waiting {
		return
	}
	if w.leaderIndex >= 0 {
		lastStreamID++
		o.stream, o.leader = lastStreamID, w.leaders[w.leaderIndex]
		leader, stream, verb := o.leader, o.stream, o.verb
		w.after(o.between(time.Millisecond, 4*time.Millisecond), func() {
			leader.step(dispatcher.CallReceived{Stream: stream, Sequence: 1, Call: specifier.QueueCall{Verb: verb, Zone: o.zone}})
		})
	}
	w.after(o.between(resendInterval, 3*resendInterval), o.send)
}

func (o *fakeOperator) handleReply(leader *fakeLeader, reply dispatcher.Reply) {
	w := o.world
	if !o.waiting || leader != o.leader || reply.Stream != o.stream || reply.Reply.Result == specifier.QueueUnavailable {
		return
	}
	if reply.Reply.Result != specifier.QueueOK {
		w.failf("the order %d for %s is answered: result %d %s", o.verb, o.zone, reply.Reply.Result, reply.Reply.Detail)
	}
	if w.faultsEnabled && o.random.Float64() < lostZoneAnswerShare {
		return
	}
	o.waiting = false
	w.logf("the order %d for %s is acknowledged", o.verb, o.zone)
	w.zoneOrders[o.verb]++
	if o.verb == specifier.EvacuateZone {
		o.evacuated = true
		w.after(o.between(50*time.Millisecond, 2500*time.Millisecond), func() { o.begin(specifier.RestoreZone) })
		return
	}
	w.after(o.between(50*time.Millisecond, 1500*time.Millisecond), o.evacuate)
}

// checkStart fails if a task begins in the zone while it is evacuated.
func (o *fakeOperator) checkStart(worker *fakeWorker, key specifier.RunKey) {
	if o.evacuated && worker.zone == o.zone {
		o.world.failf("run %v starts at %s, although %s is evacuated", key, worker.name, o.zone)
	}
}

// check fails if the last withdrawal is not acknowledged, or the zone is evacuated at a controller.
func (o *fakeOperator) check() {
	o.world.t.Helper()
	if o.waiting || o.evacuated {
		o.world.failf("the order %d for %s is not acknowledged", o.verb, o.zone)
	}
	for _, l := range o.world.leaders {
		if l.machine.Recorder.Evacuated(o.zone) {
			o.world.failf("%s is evacuated at controller %d, although it was restored", o.zone, l.index)
		}
	}
}
