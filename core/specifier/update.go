package specifier

import (
	"net/netip"
	"time"
)

// Update is a message from a controller to an entry or agent with an open session. It has exactly
// one of three contents: Expelled, NotLeader, or the other fields.
type Update struct {
	Expelled        bool // this incarnation is recorded as Down
	NotLeader       bool
	Leader          netip.AddrPort // NotLeader: zero when unknown
	Lease           time.Duration  // answers a renewal: counted from the time when the renewal was sent; 0 in an unsolicited update
	Configuration   *Configuration // set when newer than the one that was sent before
	MembersComplete bool           // Members replaces all known members; otherwise it lists the changed ones
	Members         []Member
	Shares          []ServiceShare // with Lease: the slots that the entry may use during the lease
	MemberVersion   uint64         // version of the membership that includes Members
}
