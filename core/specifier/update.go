package specifier

import (
	"net/netip"
	"time"
)

// Update is what a controller tells an entry or agent that attends. Exactly one of
// Expelled, NotLeader and a change or grant is meant.
type Update struct {
	Expelled        bool // this incarnation is recorded as Down
	NotLeader       bool
	Leader          netip.AddrPort // NotLeader: zero when unknown
	Lease           time.Duration  // answers a renewal: counts from when the renewal was sent; 0 in a push
	Configuration   *Configuration // when newer than what was sent before
	MembersComplete bool           // Members replaces everything known; otherwise it lists what changed
	Members         []Member
	Shares          []ServiceShare // with Lease: what the entry may count on as long
	MemberVersion   uint64         // of the membership after Members
}
