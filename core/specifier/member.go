package specifier

import "net/netip"

// Member is one entry or agent as the controllers record it.
type Member struct {
	Identity
	Role    Role
	Addr    netip.AddrPort // gRPC address
	Zone    string         // availability zone
	Rack    string
	Service string // the service of the agent's upstream
	Slots   int    // number of tasks that the agent's upstream runs concurrently
	State   MemberState
}
