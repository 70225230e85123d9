package server

import (
	"context"
	"io"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleandertally/controller/driver"
	"oleandertally/core/authenticator"
	"oleandertally/core/dialer"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
	"oleandertally/state/replicator"
	"oleandertally/state/snapshotter"
	"oleandertally/state/transporter"
)

// replica serves the other controllers.
type replica struct {
	transporter.UnimplementedReplicaServer

	mailbox  *looper.Mailbox[driver.Event]
	disk     *disk
	joins    *pendingCalls[driver.JoinAnswered]
	security *authenticator.Authenticator
	contacts *contacts
	pool     *dialer.Pool
}

// Exchange receives the envelopes of one controller.
func (r *replica) Exchange(stream transporter.Replica_ExchangeServer) error {
	for first := true; ; first = false {
		message, err := stream.Recv()
		if err == io.EOF {
			return stream.SendAndClose(&transporter.Stored{})
		}
		if err != nil {
			return err
		}
		envelope, err := transporter.DecodeEnvelope(message)
		if err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		if err := checkPeer(stream.Context(), r.security, specifier.Controller, envelope.From.Name); err != nil {
			return err
		}
		if addr, known := r.contacts.learn(envelope.From, message.Addr); known && first {
			r.pool.Reconnect(addr) // an earlier attempt may have failed because the other process did not run yet
		}
		if _, ok := envelope.Message.(replicator.InstallSnapshot); ok {
			return status.Error(codes.InvalidArgument, "Envelope.Message: a snapshot comes by Install")
		}
		if err := r.mailbox.Send(stream.Context(), driver.Event{Log: replicator.Received{Envelope: envelope}}); err != nil {
			return err
		}
	}
}

// Install stores the content of a snapshot and then submits it to the log.
func (r *replica) Install(stream transporter.Replica_InstallServer) error {
	receiver, err := r.disk.receive()
	if err != nil {
		return status.Error(codes.ResourceExhausted, err.Error())
	}
	for {
		chunk, err := stream.Recv()
		if err != nil {
			r.disk.discard(receiver)
			return err
		}
		meta, err := receiver.Add(snapshotter.Chunk{Offset: chunk.Offset, Data: chunk.Data, Last: chunk.Envelope != nil})
		if err != nil {
			r.disk.discard(receiver)
			return status.Error(codes.InvalidArgument, err.Error())
		}
		if chunk.Envelope == nil {
			continue
		}
		if err := r.submit(stream, receiver, meta, chunk.Envelope); err != nil {
			return err
		}
		return stream.SendAndClose(&transporter.Stored{})
	}
}

// submit sends a stored snapshot to the control loop, where the log restores or ignores it.
func (r *replica) submit(stream transporter.Replica_InstallServer, receiver *snapshotter.Receiver, meta *snapshotter.Meta, message *transporter.Envelope) error {
	envelope, err := transporter.DecodeEnvelope(message)
	install, ok := envelope.Message.(replicator.InstallSnapshot)
	if err != nil || !ok || uint64(install.Snapshot.Index) != meta.Index {
		r.disk.discard(receiver)
		return status.Error(codes.InvalidArgument, "Chunk.Envelope: expected InstallSnapshot of the same index")
	}
	if err := checkPeer(stream.Context(), r.security, specifier.Controller, envelope.From.Name); err != nil {
		r.disk.discard(receiver)
		return err
	}
	r.contacts.learn(envelope.From, message.Addr)
	content, err := receiver.Content()
	if err != nil {
		r.disk.discard(receiver)
		return status.Error(codes.Internal, err.Error())
	}
	return r.mailbox.Send(stream.Context(), driver.Event{Log: replicator.Received{Envelope: envelope}, Content: content})
}

// Join forwards a controller's request for membership in the cluster to the control loop.
func (r *replica) Join(ctx context.Context, request *transporter.JoinRequest) (*transporter.JoinReply, error) {
	server, err := transporter.DecodeServer(request.Server)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if err := checkPeer(ctx, r.security, specifier.Controller, server.ID.Name); err != nil {
		return nil, err
	}
	answered, err := r.joins.ask(ctx, func(ticket uint64) driver.Event {
		return driver.Event{Join: &driver.Join{Ticket: replicator.Ticket(ticket), Server: server}}
	})
	if err != nil {
		return nil, status.FromContextError(err).Err()
	}
	reply := &transporter.JoinReply{Member: answered.Member, Detail: answered.Detail}
	if answered.Leader.IsValid() {
		reply.Leader = answered.Leader.String()
	}
	return reply, nil
}
