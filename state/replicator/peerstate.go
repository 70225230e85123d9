package replicator

// peerState is the mode in which a leader sends entries to a peer.
type peerState uint8

const (
	probing      peerState = iota // one message at a time until the last matching entry is known
	streaming                     // up to MaxInflight unacknowledged messages
	snapshotting                  // the adapter is sending a snapshot
)
