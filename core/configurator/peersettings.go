package configurator

import "net/netip"

// PeerSettings name one controller to the others.
type PeerSettings struct {
	Name string         `yaml:"Name"`
	Addr netip.AddrPort `yaml:"Addr"`
}
