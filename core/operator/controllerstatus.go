package operator

import (
	"net/netip"
	"time"
)

// ControllerStatus is the state of one controller as the leader knows it.
type ControllerStatus struct {
	Name         string
	Addr         netip.AddrPort
	Zone         string
	Leading      bool
	Learner      bool // replicates the log, but has no vote
	Term         uint64
	CommitIndex  uint64
	AppliedIndex uint64
	SyncedIndex  uint64        // index of the last log entry that is known to be durable at the controller
	SinceHeard   time.Duration // time since the last message from the controller; 0 for the leader
}
