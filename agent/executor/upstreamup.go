package executor

import "net/netip"

// UpstreamUp reports that the upstream announced itself.
type UpstreamUp struct {
	Addr  netip.AddrPort
	Slots int
}

func (UpstreamUp) event() {}
