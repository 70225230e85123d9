package sequencer

import "net/netip"

// BecameFollower reports that this controller does not lead.
type BecameFollower struct {
	Leader netip.AddrPort // zero while unknown
}

func (BecameFollower) event() {}
