package replicator

// MembershipChanged tells the adapter the list of servers in force, with their addresses. A peer that is not
// listed is answered on the connection that its message came from.
type MembershipChanged struct {
	Servers []Server // sorted by ID
}

func (MembershipChanged) action() {}
