package dispatcher

import (
	"testing"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
)

// zoneFixture is a fixture whose agents are in zones. Commands are proposed, and committed only when the test says so.
type zoneFixture struct {
	*fixture
	zones    map[int]string
	call     uint64
	proposed []specifier.QueueCommand // changes of zones that are not committed
}

// newZoneFixture attaches agents 1, 2, ... in the given zones.
func newZoneFixture(t *testing.T, zones ...string) *zoneFixture {
	z := &zoneFixture{fixture: newFixture(t, 0), zones: make(map[int]string), call: 1000}
	for i, zone := range zones {
		z.zones[i+1] = zone
		z.renew(i+1, nil)
		z.renew(i+1, nil)
	}
	return z
}

// renew sends a complete report of an agent in its zone. It confirms no version unless change sets one.
func (z *zoneFixture) renew(agent int, change func(*specifier.LeaseReport)) {
	z.report(agent, func(report *specifier.LeaseReport) {
		report.Zone = z.zones[agent]
		if change != nil {
			change(report)
		}
	})
}

// confirm sends a report of an agent that has applied the present version.
func (z *zoneFixture) confirm(agent int) {
	z.renew(agent, func(report *specifier.LeaseReport) { report.EvacuationVersion = z.d.Recorder.EvacuationVersion() })
}

// order sends an order for a zone, and returns the number of its call.
func (z *zoneFixture) order(verb specifier.QueueVerb, zone string) uint64 {
	z.call++
	z.actions = z.d.Step(z.now, CallReceived{Stream: caller, Sequence: z.call, Call: specifier.QueueCall{Verb: verb, Zone: zone}})
	for _, each := range find[Propose](z.actions) {
		z.proposed = append(z.proposed, each.Command)
	}
	return z.call
}

func (z *zoneFixture) evacuate(zone string) uint64 { return z.order(specifier.EvacuateZone, zone) }

func (z *zoneFixture) restore(zone string) uint64 { return z.order(specifier.RestoreZone, zone) }

// commit commits the oldest proposed change.
func (z *zoneFixture) commit() {
	z.t.Helper()
	must.SliceNotEmpty(z.t, z.proposed)
	command := z.proposed[0]
	z.proposed = z.proposed[1:]
	z.step(Applied{command})
}

// lead makes a new leader of the same log.
func (z *zoneFixture) lead() {
	z.step(BecameFollower{})
	z.step(BecameLeader{Term: z.d.term + 1})
}

// mustAnswer requires that the last step answered exactly these calls with a result.
func (z *zoneFixture) mustAnswer(result specifier.QueueResult, calls ...uint64) {
	z.t.Helper()
	var answered []uint64
	for _, reply := range find[Reply](z.actions) {
		must.Eq(z.t, result, reply.Reply.Result)
		answered = append(answered, reply.Sequence)
	}
	must.Eq(z.t, calls, answered)
}

// mustStartAt requires that the last step ordered starts at exactly these agents.
func (z *zoneFixture) mustStartAt(agents ...int) {
	z.t.Helper()
	var got []int
	for _, order := range find[Order](z.actions) {
		if len(order.Order.Starts) > 0 {
			got = append(got, int(order.Stream))
		}
	}
	must.Eq(z.t, agents, got)
}

// mustNotify requires that the last step told exactly these agents that their zone is evacuated.
func (z *zoneFixture) mustNotify(agents ...int) {
	z.t.Helper()
	var got []int
	for _, order := range find[Order](z.actions) {
		must.Eq(z.t, z.d.Recorder.EvacuationVersion(), order.Order.EvacuationVersion)
		if order.Order.Evacuated {
			got = append(got, int(order.Stream))
		}
	}
	must.Eq(z.t, agents, got)
}
