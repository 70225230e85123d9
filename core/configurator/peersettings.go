package configurator

import "net/netip"

// PeerSettings are the name and address of one controller of the group.
type PeerSettings struct {
	Name string         `yaml:"Name"`
	Addr netip.AddrPort `yaml:"Addr"`
}
