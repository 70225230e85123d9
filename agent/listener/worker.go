package listener

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleandertally/agent/executor"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
)

// Worker serves the streams of entries. Fields are set before use.
type Worker struct {
	encoder.UnimplementedWorkerServer

	Self    func() specifier.Identity
	Sink    *looper.Mailbox[executor.Event]
	Streams *Streams
	Clock   func() time.Time
	// Verify returns an error unless the call of ctx comes from the entry with that name.
	Verify func(ctx context.Context, entry string) error
}

// Link serves the stream of one entry until the stream ends.
func (w *Worker) Link(stream encoder.Worker_LinkServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	entry, err := encoder.DecodeIdentity(first.Hello)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if err := w.Verify(stream.Context(), entry.Name); err != nil {
		return status.Error(codes.PermissionDenied, err.Error())
	}
	self := w.Self()
	if first.Target != uint64(self.Incarnation) {
		return status.Errorf(codes.FailedPrecondition, "Target: is %016x, this agent is %s", first.Target, self)
	}
	streamNumber, outbox := w.Streams.Open(entry)
	defer w.Streams.Close(entry, streamNumber)
	group, ctx := supervisor.WithContext(stream.Context())
	if err := w.Sink.Send(ctx, executor.Connected{Entry: entry, Stream: streamNumber}); err != nil {
		return err
	}
	if err := stream.Send(&encoder.AgentMessage{Hello: encoder.EncodeIdentity(self)}); err != nil {
		return err
	}
	group.Go(func() error { return send(ctx, stream, outbox) })
	group.Go(func() error { return w.receive(ctx, stream, entry, streamNumber) })
	err = group.Wait()
	closeCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = w.Sink.Send(closeCtx, executor.Disconnected{Entry: entry, Stream: streamNumber})
	return err
}

// send merges the queued messages into one, up to a bound on the size of its results.
func send(ctx context.Context, stream encoder.Worker_LinkServer, outbox *looper.Outbox[*encoder.AgentMessage]) error {
	const mergeBytes = 1 << 20
	for {
		messages, err := outbox.Take(ctx)
		if err != nil {
			return err
		}
		merged, size := &encoder.AgentMessage{}, 0
		for i, message := range messages {
			merged.Dones = append(merged.Dones, message.Dones...)
			merged.Refusals = append(merged.Refusals, message.Refusals...)
			merged.Reports = append(merged.Reports, message.Reports...)
			merged.Load = message.Load
			merged.Leaving = message.Leaving
			for _, done := range message.Dones {
				size += len(done.Body)
			}
			// A merged message ends with its first report or request for release, so that nothing queued later overtakes it.
			if size < mergeBytes && len(message.Reports) == 0 && !message.Leaving && i < len(messages)-1 {
				continue
			}
			if err := stream.Send(merged); err != nil {
				return err
			}
			merged, size = &encoder.AgentMessage{}, 0
		}
	}
}

func (w *Worker) receive(ctx context.Context, stream encoder.Worker_LinkServer, entry specifier.Identity, streamNumber uint64) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		events, err := decode(message, entry, streamNumber, w.Clock())
		if err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		for _, event := range events {
			if err := w.Sink.Send(ctx, event); err != nil {
				return err
			}
		}
	}
}
