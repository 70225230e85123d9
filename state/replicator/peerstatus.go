package replicator

import "time"

// PeerStatus is the leader's view of another server.
type PeerStatus struct {
	ID          ServerID
	Synced      Index     // last entry known to be durable there
	LastContact time.Time // when the newest acknowledged message was sent, or the start of the leadership if none was acknowledged
}
