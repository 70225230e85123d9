package locator

import (
	"net/netip"
	"slices"
)

// book holds the addresses of controllers. Those of the settings are kept: what a controller tells may be out of date.
type book struct {
	seeds  []netip.AddrPort
	known  []netip.AddrPort
	leader netip.AddrPort // where to look first; zero for none
	linked netip.AddrPort // the leader at the other end of the present stream; zero without one
	next   int
}

// pick returns the next address to try. An address of a leader is tried once.
func (b *book) pick() netip.AddrPort {
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

// learn takes over the controllers that one of them tells.
func (b *book) learn(controllers []netip.AddrPort) {
	if len(controllers) > 0 {
		b.known = controllers
	}
}
