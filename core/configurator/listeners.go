package configurator

import "net/netip"

// listeners detects listening addresses that cannot be open on one host at the same time.
type listeners struct {
	ports map[uint16][]listener
}

// add records that the process on host listens on addr, and reports a conflict with an earlier
// listener to c.
func (l *listeners) add(c checker, field string, host, addr netip.AddrPort) {
	if !addr.IsValid() {
		return
	}
	if l.ports == nil {
		l.ports = make(map[uint16][]listener)
	}
	added := listener{host.Addr().Unmap(), addr.Addr().Unmap(), c.path(field)}
	for _, other := range l.ports[addr.Port()] {
		if added.conflictsWith(other) {
			c.add(field, "%s is already used by %s", addr, other.field)
			break
		}
	}
	l.ports[addr.Port()] = append(l.ports[addr.Port()], added)
}
