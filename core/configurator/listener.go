package configurator

import "net/netip"

// listener is one address on which a process listens.
type listener struct {
	host  netip.Addr // the address by which the process is known
	addr  netip.Addr
	field string
}

// clashes reports whether both listen on an address in common. A wildcard or loopback address
// means different sockets on different hosts.
func (l listener) clashes(other listener) bool {
	sameHost := l.host == other.host || l.host.IsLoopback() && other.host.IsLoopback()
	if l.addr == other.addr {
		return sameHost || !l.addr.IsUnspecified() && !l.addr.IsLoopback()
	}
	return sameHost && (l.addr.IsUnspecified() || other.addr.IsUnspecified())
}
