package locator

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// maxRelays bounds the relays that are remembered.
const maxRelays = 64

// addressBook holds the addresses of controllers and relays. It keeps the configured addresses, because a list from a controller may
// be out of date.
type addressBook struct {
	seeds     []netip.AddrPort
	known     []netip.AddrPort
	relays    []netip.AddrPort // the newest list that was not empty
	ownRelay  netip.AddrPort   // relay of this process, which reaches no more than the process; zero for none
	connected route            // to the leader at the other end of the open stream; zero without one
	leader    netip.AddrPort   // last known leader
	next      int
}

// all returns the addresses of controllers, those of the newest list first.
func (b *addressBook) all() []netip.AddrPort {
	all := slices.Clone(b.known)
	for _, seed := range b.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	return all
}

// pick returns the next address that is not excluded, or the zero address if there is none.
func (b *addressBook) pick(excluded func(netip.AddrPort) bool) netip.AddrPort {
	all := b.all()
	for range all {
		b.next++
		if addr := all[b.next%len(all)]; !excluded(addr) {
			return addr
		}
	}
	return netip.AddrPort{}
}

// learn stores the lists of controllers and relays that a controller sent. Empty lists come from controllers that know none.
func (b *addressBook) learn(controllers, relays []netip.AddrPort) {
	if len(controllers) > 0 {
		b.known = controllers
	}
	relays = slices.DeleteFunc(relays, func(addr netip.AddrPort) bool { return addr == b.ownRelay })
	if len(relays) > 0 {
		b.relays = relays[:min(len(relays), maxRelays)]
	}
}

// plan returns the plan for a search that begins now. The relays are in random order, with the one that was lost last at the end.
func (b *addressBook) plan(now time.Time, lost netip.AddrPort) *relayPlan {
	plan := &relayPlan{relays: slices.Clone(b.relays), controllers: b.all(), leader: b.leader, startAt: now, hurry: lost.IsValid()}
	for _, list := range [][]netip.AddrPort{plan.relays, plan.controllers} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	if i := slices.Index(plan.relays, lost); i >= 0 {
		plan.relays = append(slices.Delete(plan.relays, i, i+1), lost)
	}
	return plan
}
