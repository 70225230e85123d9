package deployer

import (
	"net/netip"
)

// Layout assigns an address to each process of a site. Each has its own IP address in the loopback range, as if it ran
// on its own host.
type Layout struct {
	Base netip.Addr // the first two bytes identify the site
}

// The ports are the same on every host.
const (
	httpPort     = 8080 // port of an entry for callers
	peerPort     = 7000 // gRPC
	announcePort = 7001 // port of an agent for its upstream
	upstreamPort = 9000
)

func (l Layout) host(role byte, i int) netip.Addr {
	base := l.Base.As4()
	return netip.AddrFrom4([4]byte{base[0], base[1], role, byte(i + 1)})
}

// Entry returns the address for callers of entry i.
func (l Layout) Entry(i int) netip.AddrPort { return netip.AddrPortFrom(l.host(1, i), httpPort) }

func (l Layout) entryPeer(i int) netip.AddrPort { return netip.AddrPortFrom(l.host(1, i), peerPort) }

// Controller returns the gRPC address of controller i.
func (l Layout) Controller(i int) netip.AddrPort { return netip.AddrPortFrom(l.host(2, i), peerPort) }

func (l Layout) agent(i int) netip.AddrPort { return netip.AddrPortFrom(l.host(3, i), peerPort) }

func (l Layout) announce(i int) netip.AddrPort { return netip.AddrPortFrom(l.host(3, i), announcePort) }

func (l Layout) upstream(i int) netip.AddrPort { return netip.AddrPortFrom(l.host(3, i), upstreamPort) }
