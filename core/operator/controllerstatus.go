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
	SinceHeard   time.Duration // since the leader heard from it; 0 for the leader
}
