package configurator

import "net/netip"

// listener is one IP address on which a process listens, and the settings field that configures it.
type listener struct {
	host  netip.Addr // the address at which other processes reach the process; identifies its host
	addr  netip.Addr
	field string
}

// conflictsWith reports whether two listeners on the same port cannot be open at the same time. Equal
// wildcard or loopback addresses conflict on the same host only.
func (l listener) conflictsWith(other listener) bool {
	sameHost := l.host == other.host || l.host.IsLoopback() && other.host.IsLoopback()
	if l.addr == other.addr {
		return sameHost || !l.addr.IsUnspecified() && !l.addr.IsLoopback()
	}
	return sameHost && (l.addr.IsUnspecified() || other.addr.IsUnspecified())
}
