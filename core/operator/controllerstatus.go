package operator

import (
	"net/netip"
	"time"
)

// ControllerStatus is one controller as the leader sees it.
type ControllerStatus struct {
	Name         string
	Addr         netip.AddrPort
	Zone         string
	Leading      bool
	Learner      bool // gets the log, but has no vote
	Term         uint64
	CommitIndex  uint64
	AppliedIndex uint64
	SyncedIndex  uint64        // last entry known to be durable there
	SinceHeard   time.Duration // since the leader heard from it; 0 for the leader
}
