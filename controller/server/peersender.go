package server

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"oleandertally/core/dialer"
	"oleandertally/core/looper"
	"oleandertally/state/replicator"
	"oleandertally/state/snapshotter"
	"oleandertally/state/transporter"
)

const (
	// peerRedialDelay is the wait before a broken stream to a peer is opened again.
	peerRedialDelay = 100 * time.Millisecond
	// peerOpenTimeout bounds the wait for a connection. Then the envelopes that wait are too old to be of use.
	peerOpenTimeout = 300 * time.Millisecond
	// maxPeerBacklog is the maximum number of envelopes that wait for a slow peer. Older ones are dropped; the log
	// resends them.
	maxPeerBacklog = 4096
)

// peerSender sends envelopes to one other controller.
type peerSender struct {
	addr netip.AddrPort
	self netip.AddrPort // sent with each envelope: the peer may not know it
	pool *dialer.Pool
	box  *looper.Outbox[replicator.Envelope]
}

// run sends envelopes until ctx ends. Envelopes that can't be sent are dropped; the log resends them. A stream is
// opened only when there is an envelope to send.
func (p *peerSender) run(ctx context.Context) error {
	for {
		envelopes, err := p.box.Take(ctx)
		if err != nil {
			return err
		}
		if err := p.session(ctx, envelopes); err != nil && ctx.Err() == nil {
			looper.Pause(ctx, peerRedialDelay)
		}
	}
}

func (p *peerSender) session(ctx context.Context, envelopes []replicator.Envelope) error {
	conn, err := p.pool.Conn(p.addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(peerOpenTimeout, cancel)
	stream, err := transporter.NewReplicaClient(conn).Exchange(ctx, grpc.WaitForReady(true)) // a peer that starts now connects soon
	if !timer.Stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		return errors.Wrapf(err, "controller: open the stream to %s", p.addr)
	}
	for {
		for _, envelope := range envelopes[max(len(envelopes)-maxPeerBacklog, 0):] {
			message := transporter.EncodeEnvelope(envelope)
			message.Addr = p.self.String()
			if err := stream.Send(message); err != nil {
				return errors.Wrapf(err, "controller: send to %s", p.addr)
			}
		}
		if envelopes, err = p.box.Take(ctx); err != nil {
			return err
		}
	}
}

// install streams the newest snapshot to a controller that needs entries which the log no longer has. It fails if a newer
// snapshot has replaced the one of the action.
func install(ctx context.Context, pool *dialer.Pool, addr netip.AddrPort, self netip.AddrPort, action replicator.SendSnapshot, store *snapshotter.Store) error {
	newest, err := store.Newest()
	if err != nil {
		return err
	}
	defer newest.Close()
	if newest.Meta.Index != uint64(action.Snapshot.Index) {
		return errors.Newf("controller: the newest snapshot ends at %d, not at %d", newest.Meta.Index, action.Snapshot.Index)
	}
	conn, err := pool.Conn(addr)
	if err != nil {
		return err
	}
	stream, err := transporter.NewReplicaClient(conn).Install(ctx)
	if err != nil {
		return errors.Wrapf(err, "controller: open the snapshot stream to %s", addr)
	}
	for offset := int64(0); offset < newest.Size; {
		chunk, err := newest.Chunk(offset)
		if err != nil {
			return err
		}
		message := &transporter.Chunk{Offset: chunk.Offset, Data: chunk.Data}
		if chunk.Last {
			message.Envelope = transporter.EncodeEnvelope(action.Envelope)
			message.Envelope.Addr = self.String()
		}
		if err := stream.Send(message); err != nil {
			return errors.Wrapf(err, "controller: send the snapshot to %s", addr)
		}
		offset += int64(len(chunk.Data))
	}
	_, err = stream.CloseAndRecv()
	return errors.Wrapf(err, "controller: the snapshot to %s", addr)
}
