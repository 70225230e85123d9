package server

import "net/netip"

// Peer is a controller as the settings list it.
type Peer struct {
	Name string
	Addr netip.AddrPort // gRPC
}
