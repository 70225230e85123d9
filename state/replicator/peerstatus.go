package replicator

import "time"

// PeerStatus is what a leader knows of another server.
type PeerStatus struct {
	ID          ServerID
	Synced      Index     // last entry known to be durable there
	LastContact time.Time // when the newest message that it acknowledged was sent; since when this server leads if none
}
