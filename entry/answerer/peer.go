package answerer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/entry/coordinator"
)

// Peer serves other entries. Fields are set before use.
type Peer struct {
	encoder.UnimplementedPeerServer

	Sink    *looper.Mailbox[coordinator.Event]
	Waiters *Waiters
}

// Await waits for the answer of a job that this entry owns.
func (p *Peer) Await(ctx context.Context, request *encoder.AwaitRequest) (*encoder.AwaitReply, error) {
	event := coordinator.AnswerRequested{Cancel: request.Cancel}
	if len(request.Job) != len(event.Job) || len(request.Digest) != len(event.Digest) {
		return nil, status.Error(codes.InvalidArgument, "Job, Digest: wrong length")
	}
	copy(event.Job[:], request.Job)
	copy(event.Digest[:], request.Digest)
	waiter, reply := p.Waiters.Open()
	defer p.Waiters.Close(waiter)
	event.Waiter = waiter
	if err := p.Sink.Send(ctx, event); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	select {
	case reply := <-reply:
		if reply.NotOwner {
			return &encoder.AwaitReply{Gone: true}, nil
		}
		return &encoder.AwaitReply{Answer: encoder.EncodeAnswer(reply.Answer)}, nil
	case <-ctx.Done():
		sendCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = p.Sink.Send(sendCtx, coordinator.Abandoned{Waiter: waiter, Job: event.Job})
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}
