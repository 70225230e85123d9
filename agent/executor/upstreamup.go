package executor

import (
	"net/netip"
	"time"
)

// UpstreamUp reports that the upstream announced itself. It counts as gone at Until unless it
// announces itself again.
type UpstreamUp struct {
	Addr  netip.AddrPort
	Slots int
	Until time.Time
}

func (UpstreamUp) event() {}
