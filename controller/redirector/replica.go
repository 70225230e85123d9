package redirector

import (
	"context"
	"net/netip"

	"oleandertally/state/transporter"
)

// replica redirects joining controllers to the leader.
type replica struct {
	transporter.UnimplementedReplicaServer

	leaderAndControllers func() (netip.AddrPort, []netip.AddrPort)
}

// Join replies with the leader's address if the leader is known.
func (r *replica) Join(context.Context, *transporter.JoinRequest) (*transporter.JoinReply, error) {
	reply := &transporter.JoinReply{Detail: "no controller on this host"}
	if leader, _ := r.leaderAndControllers(); leader.IsValid() {
		reply.Leader = leader.String()
	}
	return reply, nil
}
