package redirector

import (
	"context"
	"net/netip"

	"oleandertally/state/transporter"
)

// replica sends controllers that want to join to the leader.
type replica struct {
	transporter.UnimplementedReplicaServer

	known func() (netip.AddrPort, []netip.AddrPort)
}

// Join names the leader, if one is known.
func (r *replica) Join(context.Context, *transporter.JoinRequest) (*transporter.JoinReply, error) {
	reply := &transporter.JoinReply{Detail: "no controller on this host"}
	if leader, _ := r.known(); leader.IsValid() {
		reply.Leader = leader.String()
	}
	return reply, nil
}
