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
	// joinEvery is how often a controller asks until it is a voter.
	joinEvery = 200 * time.Millisecond
	joinBound = 2 * time.Second
)

// joiner makes a controller a member of the cluster that the controllers at Peers form.
type joiner struct {
	self  replicator.Server
	peers []netip.AddrPort
	pool  *dialer.Pool
	log   zerolog.Logger
}

// run asks until the controller is a voter.
func (j *joiner) run(ctx context.Context) error {
	for next := 0; ; next = (next + 1) % len(j.peers) {
		member, err := j.ask(ctx, j.peers[next])
		if member {
			j.log.Info().Str("Event", "Joined").Msg("this controller is a voter")
			return nil
		}
		if err != nil {
			j.log.Debug().Err(err).Str("Peer", j.peers[next].String()).Msg("not a voter yet")
		}
		timer := time.NewTimer(joinEvery)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return context.Cause(ctx)
		}
	}
}

// ask asks one controller and, if it names another leader, that one.
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
	ctx, cancel := context.WithTimeout(ctx, joinBound)
	defer cancel()
	reply, err := transporter.NewReplicaClient(conn).Join(ctx, &transporter.JoinRequest{Server: transporter.EncodeServer(j.self)})
	return reply, errors.Wrapf(err, "controller: ask %s to join", addr)
}
