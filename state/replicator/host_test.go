package replicator

import "time"

// host is one server with its disk, its clock and its applied state.
type host struct {
	id            ServerID
	node          *Node
	disk          *disk
	up            bool
	diskLost      bool // the disk is lost permanently
	clockOffset   time.Duration
	clockRate     int    // percent of the true rate
	digest        uint64 // digest of the applied state
	applied       Index
	checkedCommit Index      // last committed entry that was compared with the history
	wasLeader     bool       // the host led after the previous step
	voters        []ServerID // voters after the previous step
}

// clock returns the host's time at the true time now. The clocks of the hosts differ in offset and rate.
func (h *host) clock(now time.Time) time.Time {
	return epoch.Add(h.clockOffset + now.Sub(epoch)*time.Duration(h.clockRate)/100)
}

// due returns the true time of the next deadline, or the zero time if there is none.
func (h *host) due() time.Time {
	next := h.node.Next()
	if !h.up || next.IsZero() {
		return time.Time{}
	}
	return epoch.Add((next.Sub(epoch)-h.clockOffset)*100/time.Duration(h.clockRate) + 1)
}

var epoch = time.Unix(1_000_000, 0)
