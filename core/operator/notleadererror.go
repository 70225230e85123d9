package operator

import "net/netip"

// NotLeaderError means that the called controller is not the leader.
type NotLeaderError struct {
	Leader netip.AddrPort // zero when the controller knows no leader
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if !e.Leader.IsValid() {
		return "does not lead, and knows no leader"
	}
	return "does not lead, " + e.Leader.String() + " does"
}
