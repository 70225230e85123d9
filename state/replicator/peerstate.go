package replicator

// peerState is how a leader sends entries to a peer.
type peerState uint8

const (
	probing      peerState = iota // one message until the logs are known to agree
	streaming                     // up to MaxInflight messages at once
	snapshotting                  // the adapter sends a snapshot
)
