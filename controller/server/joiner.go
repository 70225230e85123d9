package server

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"oleandertally/core/dialer"
	"oleandertally/state/replicator"
	"oleandertally/state/transporter"
)

const (
	// joinRetryInterval is how often a controller that is not a voter asks to join.
	joinRetryInterval = 200 * time.Millisecond
	joinTimeout       = 2 * time.Second
	// membershipCheckInterval is how often a voter asks again, in case it has been removed.
	membershipCheckInterval = 2 * time.Second
)

// joiner makes a controller a member of the cluster that the controllers at Peers form.
type joiner struct {
	self       replicator.Server
	peers      []netip.AddrPort
	pool       *dialer.Pool
	log        zerolog.Logger
	keepMember bool                    // keep asking as a voter: a leader may remove a voter that was unreachable
	knownPeers func() []netip.AddrPort // controllers in the log's configuration
}

// run asks until the controller is a voter or, with keepMember, until ctx ends.
func (j *joiner) run(ctx context.Context) error {
	joined := false
	for next := 0; ; next++ {
		peers := append(j.knownPeers(), j.peers...)
		peer, wait := peers[next%len(peers)], joinRetryInterval
		member, err := j.ask(ctx, peer)
		switch {
		case member && !j.keepMember:
			j.log.Info().Str("Event", "Joined").Msg("this controller is a voter")
			return nil
		case member:
			wait = membershipCheckInterval
			if !joined {
				j.log.Info().Str("Event", "Joined").Msg("this controller is a voter")
			}
		case err != nil:
			j.log.Debug().Err(err).Stringer("Peer", peer).Msg("not a voter yet")
		}
		joined = member || joined && err != nil
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return context.Cause(ctx)
		}
	}
}

// ask asks one controller and, if the reply names a leader, that leader. It reports whether this controller is a voter.
func (j *joiner) ask(ctx context.Context, addr netip.AddrPort) (bool, error) {
	reply, err := j.send(ctx, addr)
	if err != nil || reply.Leader == "" {
		return reply.GetMember(), err
	}
	leader, err := netip.ParseAddrPort(reply.Leader)
	if err != nil {
		return false, errors.Wrap(err, "controller: JoinReply.Leader")
	}
	reply, err = j.send(ctx, leader)
	return reply.GetMember(), err
}

func (j *joiner) send(ctx context.Context, addr netip.AddrPort) (*transporter.JoinReply, error) {
	conn, err := j.pool.Conn(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	reply, err := transporter.NewReplicaClient(conn).Join(ctx, &transporter.JoinRequest{Server: transporter.EncodeServer(j.self)})
	return reply, errors.Wrapf(err, "controller: ask %s to join", addr)
}
