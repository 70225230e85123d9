package server

import "net/netip"

// Peer is a controller in the list of the settings.
type Peer struct {
	Name string
	Addr netip.AddrPort // gRPC
}
