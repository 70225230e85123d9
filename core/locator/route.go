package locator

import "net/netip"

// route is a path to a controller.
type route struct {
	controller netip.AddrPort
	relay      netip.AddrPort // zero for a direct connection
}

func (r route) isRelayed() bool { return r.relay.IsValid() }

// String names the controller, and the relay if there is one.
func (r route) String() string {
	if !r.isRelayed() {
		return r.controller.String()
	}
	return r.controller.String() + " through relay " + r.relay.String()
}
