package sequencer

import "net/netip"

// Followed reports that this controller does not lead.
type Followed struct {
	Leader netip.AddrPort // zero while unknown
}

func (Followed) event() {}
