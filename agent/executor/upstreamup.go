package executor

import (
	"net/netip"
	"time"
)

// UpstreamUp reports an announcement of the upstream. Without another one, the upstream is treated as absent from Until on.
type UpstreamUp struct {
	Addr  netip.AddrPort
	Slots int
	Until time.Time
}

func (UpstreamUp) event() {}
