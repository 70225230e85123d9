package replicator

import "net/netip"

// Server is one member of the cluster.
type Server struct {
	ID   ServerID
	Addr netip.AddrPort
	// Voter is false for a learner, which receives the log and counts toward no majority. The
	// leader makes a learner a voter once the learner holds every committed entry.
	Voter bool
	// Replaces names the server that the leader removes after this one became a voter; it may be zero.
	Replaces ServerID
}
