package exporter

import (
	"context"

	"google.golang.org/grpc/stats"
)

// StatsHandler counts the payload bytes of gRPC messages as control bytes. It implements stats.Handler.
type StatsHandler struct {
	Member *Member
}

// TagRPC returns ctx.
func (h *StatsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn returns ctx.
func (h *StatsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (h *StatsHandler) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC counts the payloads, including their frame headers.
func (h *StatsHandler) HandleRPC(_ context.Context, event stats.RPCStats) {
	switch event := event.(type) {
	case *stats.InPayload:
		h.Member.AddControlBytes(Received, event.WireLength)
	case *stats.OutPayload:
		h.Member.AddControlBytes(Sent, event.WireLength)
	}
}
