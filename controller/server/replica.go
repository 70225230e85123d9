package server

import (
	"io"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleandertally/controller/driver"
	"oleandertally/core/mailer"
	"oleandertally/state/replicator"
	"oleandertally/state/transporter"
)

// maxSnapshot bounds the content of a snapshot that is received, in bytes.
const maxSnapshot = 4 << 30

// replica serves the other controllers.
type replica struct {
	transporter.UnimplementedReplicaServer

	mailbox *mailer.Mailbox[driver.Event]
}

// Exchange receives the envelopes of one controller.
func (r *replica) Exchange(stream transporter.Replica_ExchangeServer) error {
	for {
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
		if _, ok := envelope.Message.(replicator.InstallSnapshot); ok {
			return status.Error(codes.InvalidArgument, "Envelope.Message: a snapshot comes by Install")
		}
		if err := r.mailbox.Send(stream.Context(), driver.Event{Log: replicator.Received{Envelope: envelope}}); err != nil {
			return err
		}
	}
}

// Install receives the content of a snapshot and then offers it to the log.
func (r *replica) Install(stream transporter.Replica_InstallServer) error {
	var content []byte
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return err
		}
		if len(content)+len(chunk.Data) > maxSnapshot {
			return status.Error(codes.ResourceExhausted, "Chunk.Data: the snapshot is too large")
		}
		content = append(content, chunk.Data...)
		if chunk.Envelope == nil {
			continue
		}
		envelope, err := transporter.DecodeEnvelope(chunk.Envelope)
		if err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		if _, ok := envelope.Message.(replicator.InstallSnapshot); !ok {
			return status.Error(codes.InvalidArgument, "Chunk.Envelope: expected InstallSnapshot")
		}
		event := driver.Event{Log: replicator.Received{Envelope: envelope}, Content: content}
		if err := r.mailbox.Send(stream.Context(), event); err != nil {
			return err
		}
		return stream.SendAndClose(&transporter.Stored{})
	}
}
