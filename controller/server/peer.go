package server

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"oleandertally/core/dialer"
	"oleandertally/core/mailer"
	"oleandertally/state/replicator"
	"oleandertally/state/transporter"
)

const (
	// peerRedial is how long to wait before a broken stream to a peer is opened again.
	peerRedial = 100 * time.Millisecond
	// peerBacklog is how many envelopes wait for a peer that does not take them; the log resends
	// what is dropped.
	peerBacklog = 4096
	chunkSize   = 256 << 10
)

// peer sends to one other controller.
type peer struct {
	addr netip.AddrPort
	pool *dialer.Pool
	box  *mailer.Outbox[replicator.Envelope]
}

// run sends envelopes until ctx ends. What can't be sent is lost: the log resends it.
func (p *peer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := p.session(ctx); err != nil && ctx.Err() == nil {
			timer := time.NewTimer(peerRedial)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
			timer.Stop()
		}
	}
	return context.Cause(ctx)
}

func (p *peer) session(ctx context.Context) error {
	conn, err := p.pool.Conn(p.addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := transporter.NewReplicaClient(conn).Exchange(ctx)
	if err != nil {
		return errors.Wrapf(err, "server: open the stream to %s", p.addr)
	}
	for {
		envelopes, err := p.box.Take(ctx)
		if err != nil {
			return err
		}
		if extra := len(envelopes) - peerBacklog; extra > 0 {
			envelopes = envelopes[extra:]
		}
		for _, envelope := range envelopes {
			if err := stream.Send(transporter.EncodeEnvelope(envelope)); err != nil {
				return errors.Wrapf(err, "server: send to %s", p.addr)
			}
		}
	}
}

// install streams a snapshot to a controller that is far behind.
func install(ctx context.Context, pool *dialer.Pool, addr netip.AddrPort, envelope replicator.Envelope, content []byte) error {
	conn, err := pool.Conn(addr)
	if err != nil {
		return err
	}
	stream, err := transporter.NewReplicaClient(conn).Install(ctx)
	if err != nil {
		return errors.Wrapf(err, "server: open the snapshot stream to %s", addr)
	}
	for len(content) > 0 {
		size := min(len(content), chunkSize)
		if err := stream.Send(&transporter.Chunk{Data: content[:size]}); err != nil {
			return errors.Wrapf(err, "server: send the snapshot to %s", addr)
		}
		content = content[size:]
	}
	if err := stream.Send(&transporter.Chunk{Envelope: transporter.EncodeEnvelope(envelope)}); err != nil {
		return errors.Wrapf(err, "server: send the snapshot to %s", addr)
	}
	_, err = stream.CloseAndRecv()
	return errors.Wrapf(err, "server: the snapshot to %s", addr)
}
