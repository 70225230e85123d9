package server

import (
	"net/netip"
	"time"

	"oleandertally/controller/dispatcher"
)

// listedRelay is a relay that an entry has announced.
type listedRelay struct {
	addr     netip.AddrPort
	stream   dispatcher.Stream // the newest stream that announced it
	forgetAt time.Time         // zero while the stream is open
}
