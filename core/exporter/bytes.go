package exporter

import (
	"context"

	"google.golang.org/grpc/stats"
)

// Bytes counts the messages of gRPC connections as control bytes. It is a stats.Handler.
type Bytes struct {
	Member *Member
}

// TagRPC returns ctx.
func (b *Bytes) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn returns ctx.
func (b *Bytes) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (b *Bytes) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC counts the payloads, with their frames.
func (b *Bytes) HandleRPC(_ context.Context, event stats.RPCStats) {
	switch event := event.(type) {
	case *stats.InPayload:
		b.Member.AddControlBytes(Received, event.WireLength)
	case *stats.OutPayload:
		b.Member.AddControlBytes(Sent, event.WireLength)
	}
}
