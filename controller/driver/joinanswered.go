package driver

import (
	"net/netip"

	"oleandertally/state/replicator"
)

// JoinAnswered answers Join. The server repeats its request until Member is true.
type JoinAnswered struct {
	Ticket replicator.Ticket
	Member bool           // the server is a voter
	Leader netip.AddrPort // set when another controller leads
	Detail string
}
