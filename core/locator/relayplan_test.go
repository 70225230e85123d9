package locator

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	controllerA = netip.MustParseAddrPort("127.0.0.1:1")
	controllerB = netip.MustParseAddrPort("127.0.0.1:2")
	relayA      = netip.MustParseAddrPort("127.0.0.2:1")
	relayB      = netip.MustParseAddrPort("127.0.0.2:2")
)

// moment returns a time since the start of a search, on the clock that the test holds.
func moment(millis int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(millis) * time.Millisecond)
}

func newPlan() *relayPlan {
	return &relayPlan{relays: []netip.AddrPort{relayA, relayB}, leader: controllerA,
		controllers: []netip.AddrPort{controllerB}, startAt: moment(0)}
}

// mustTryAt checks that the next attempt is made at a moment and not before, and returns its route.
func mustTryAt(t *testing.T, plan *relayPlan, millis int) route {
	t.Helper()
	must.Eq(t, moment(millis), plan.due())
	_, early := plan.next(moment(millis - 1))
	must.False(t, early)
	r, ok := plan.next(moment(millis))
	must.True(t, ok)
	return r
}

func TestRelayPlan(t *testing.T) {
	t.Run("without an answer, the relays are tried in turn, and both the last leader and other controllers through them", func(t *testing.T) {
		// Guards against a cut off agent that waits until its runs are lost, and against one that asks for a lost leader only.
		plan := newPlan()
		must.Eq(t, route{controllerA, relayA}, mustTryAt(t, plan, 150))
		must.Eq(t, route{controllerB, relayB}, mustTryAt(t, plan, 400))
		must.Eq(t, route{controllerA, relayA}, mustTryAt(t, plan, 650))
	})
	t.Run("three attempts begin within a grant of 1.3 s, of which the broken stream takes 0.5 s", func(t *testing.T) {
		plan := newPlan()
		mustTryAt(t, plan, 150)
		mustTryAt(t, plan, 400)
		must.True(t, plan.due().Before(moment(1300-500)))
	})
	t.Run("a refused attempt is followed by another relay soon, but not without end", func(t *testing.T) {
		// Guards against clients that flood the relays while all controllers are down.
		plan, now := newPlan(), 150
		for range quickAttempts {
			mustTryAt(t, plan, now)
			plan.failed(moment(now))
			now += int(failedDelay.Milliseconds())
		}
		now += int((relayInterval - failedDelay).Milliseconds())
		mustTryAt(t, plan, now)
		plan.failed(moment(now))
		mustTryAt(t, plan, now+1000)
	})
	t.Run("no relay is tried while the controllers elect a leader", func(t *testing.T) {
		// Guards against a relayed connection of every process at each change of the leader.
		plan := newPlan()
		plan.opened(moment(5), route{controller: controllerB})
		plan.answered(moment(10), controllerA) // the lost leader
		must.Eq(t, moment(400), plan.due())
		plan.answered(moment(300), netip.AddrPort{})
		mustTryAt(t, plan, 700)
		plan.failed(moment(710))
		mustTryAt(t, plan, 1700) // an election that takes long is not urgent
	})
	t.Run("a new leader that can be reached has time to answer", func(t *testing.T) {
		plan := newPlan()
		plan.answered(moment(350), controllerB)
		plan.opened(moment(380), route{controller: controllerB})
		must.Eq(t, moment(980), plan.due())
	})
	t.Run("a leader that is named and can't be reached is tried through a relay", func(t *testing.T) {
		plan := newPlan()
		plan.answered(moment(10), controllerB)
		must.Eq(t, route{controllerB, relayA}, mustTryAt(t, plan, 400))
		must.Eq(t, route{controllerB, relayB}, mustTryAt(t, plan, 650))
	})
	t.Run("controllers that are silent after an answer count as cut off", func(t *testing.T) {
		plan := newPlan()
		plan.opened(moment(5), route{controller: controllerB})
		mustTryAt(t, plan, 605)
	})
	t.Run("after the loss of a relayed stream, relays are tried at once", func(t *testing.T) {
		plan := newPlan()
		plan.hurry = true
		mustTryAt(t, plan, 0)
	})
	t.Run("without relays or controllers nothing is due", func(t *testing.T) {
		must.True(t, (&relayPlan{leader: controllerA, startAt: moment(0)}).due().IsZero())
		must.True(t, (&relayPlan{relays: []netip.AddrPort{relayA}, startAt: moment(0)}).due().IsZero())
	})
}

func TestAddressBook(t *testing.T) {
	t.Run("an empty list of a follower or a new leader does not erase the relays", func(t *testing.T) {
		var book addressBook
		book.learn(nil, []netip.AddrPort{relayA})
		book.learn([]netip.AddrPort{controllerA}, nil)
		must.Eq(t, []netip.AddrPort{relayA}, book.relays)
	})
	t.Run("an entry does not use its own relay", func(t *testing.T) {
		book := addressBook{ownRelay: relayA}
		book.learn(nil, []netip.AddrPort{relayA, relayB})
		must.Eq(t, []netip.AddrPort{relayB}, book.relays)
	})
	t.Run("the relay that was lost is tried last", func(t *testing.T) {
		// Guards against a second attempt at a dead relay while others are alive.
		book := addressBook{relays: []netip.AddrPort{relayA, relayB}}
		for range 8 {
			must.Eq(t, []netip.AddrPort{relayB, relayA}, book.plan(moment(0), relayA).relays)
		}
	})
}

// Guards against processes that return to the direct path all at once when a partition heals.
func TestDirectAttemptDelay(t *testing.T) {
	must.Eq(t, 1500*time.Millisecond, directAttemptDelay(0))
	must.Eq(t, 2*time.Second, directAttemptDelay(0.5))
	must.Eq(t, 2500*time.Millisecond, directAttemptDelay(1))
}
