package locator

import "net/netip"

// finding is what a probe found: that its stream is open, or that its controller leads, or that it answered but does not lead, or err.
type finding[In, Out any] struct {
	probe    *probe[In, Out]
	opened   bool
	answered bool
	named    netip.AddrPort // leader that the controller named; zero for none
	err      error
}
