package driver

import (
	"net/netip"

	"oleandertally/state/replicator"
)

// JoinAnswered answers Join. Until Member is true the server asks again.
type JoinAnswered struct {
	Ticket replicator.Ticket
	Member bool           // the server is a voter
	Leader netip.AddrPort // set when another controller leads
	Detail string
}
