package replicator

import "time"

// host is one server with its disk, its clock and the state that it applies.
type host struct {
	id            ServerID
	node          *Node
	disk          *disk
	up            bool
	diskLost      bool // the disk is gone for good
	clockOffset   time.Duration
	clockRate     int // percent of true time
	digest        uint64
	applied       Index
	checkedCommit Index // commit up to here agreed with the history
	wasLeader     bool  // after the previous step
	voters        []ServerID
}

// clock returns the host's time at the true time now; it differs from other hosts in offset and rate.
func (h *host) clock(now time.Time) time.Time {
	return epoch.Add(h.clockOffset + now.Sub(epoch)*time.Duration(h.clockRate)/100)
}

// due returns the true time of the next deadline, or the zero time.
func (h *host) due() time.Time {
	next := h.node.Next()
	if !h.up || next.IsZero() {
		return time.Time{}
	}
	return epoch.Add((next.Sub(epoch)-h.clockOffset)*100/time.Duration(h.clockRate) + 1)
}

var epoch = time.Unix(1_000_000, 0)
