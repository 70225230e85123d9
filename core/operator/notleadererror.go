package operator

import "net/netip"

// NotLeaderError means that another controller leads.
type NotLeaderError struct {
	Leader netip.AddrPort // zero when there is none
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if !e.Leader.IsValid() {
		return "does not lead, and knows no leader"
	}
	return "does not lead, " + e.Leader.String() + " does"
}
