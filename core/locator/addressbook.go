package locator

import (
	"net/netip"
	"slices"
)

// addressBook holds the addresses of controllers. It keeps the configured addresses, because a list from a controller may be
// out of date.
type addressBook struct {
	seeds     []netip.AddrPort
	known     []netip.AddrPort
	leader    netip.AddrPort // leader to try next; zero if the next address comes from the lists
	connected netip.AddrPort // the leader at the other end of the open stream; zero without one
	next      int
}

// pick returns the next address to try. The address of a named leader is tried once.
func (b *addressBook) pick() netip.AddrPort {
	if leader := b.leader; leader.IsValid() {
		b.leader = netip.AddrPort{}
		return leader
	}
	all := slices.Clone(b.known)
	for _, seed := range b.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	if len(all) == 0 {
		return netip.AddrPort{}
	}
	b.next++
	return all[b.next%len(all)]
}

// learn stores the list of controllers that a controller sent.
func (b *addressBook) learn(controllers []netip.AddrPort) {
	if len(controllers) > 0 {
		b.known = controllers
	}
}
