package configurator

import "net/netip"

// listeners finds two listening addresses that cannot be open on one host at the same time.
type listeners struct {
	ports map[uint16][]listener
}

type listener struct {
	host  netip.Addr // the address by which the process is known
	addr  netip.Addr
	field string
}

// add records that the process known as host listens on addr, and reports a clash with an
// earlier one to c.
func (l *listeners) add(c checker, field string, host, addr netip.AddrPort) {
	if !addr.IsValid() {
		return
	}
	if l.ports == nil {
		l.ports = make(map[uint16][]listener)
	}
	added := listener{host.Addr().Unmap(), addr.Addr().Unmap(), c.path(field)}
	for _, other := range l.ports[addr.Port()] {
		if added.clashes(other) {
			c.add(field, "%s is already used by %s", addr, other.field)
			break
		}
	}
	l.ports[addr.Port()] = append(l.ports[addr.Port()], added)
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
