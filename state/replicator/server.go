package replicator

import "net/netip"

// Server is one member of the cluster.
type Server struct {
	ID   ServerID
	Addr netip.AddrPort
	// Voter is false for a learner, which receives the log but does not count toward majorities. The leader promotes a
	// learner to a voter once its log holds every committed entry.
	Voter bool
	// Replaces is the server that the leader removes after this one became a voter; zero if there is none.
	Replaces ServerID
}
