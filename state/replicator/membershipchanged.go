package replicator

// MembershipChanged reports the current list of servers with their addresses. The adapter answers a peer that is not
// listed on the connection that the peer's message came from.
type MembershipChanged struct {
	Servers []Server // sorted by ID
}

func (MembershipChanged) action() {}
