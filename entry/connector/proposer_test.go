package connector

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

// testTimeout ends a test that gets no decision.
const testTimeout = 30 * time.Second

// registry is a fake controller that decides every proposal, or no proposal if unresponsive.
type registry struct {
	encoder.UnimplementedRegistryServer

	unresponsive bool
}

func (r *registry) Propose(stream encoder.Registry_ProposeServer) error {
	for {
		proposals, err := stream.Recv()
		if err != nil {
			return err
		}
		if r.unresponsive {
			continue
		}
		verdicts := &encoder.Verdicts{}
		for _, item := range proposals.Items {
			verdicts.Items = append(verdicts.Items, &encoder.Verdict{Sequence: item.Sequence,
				Decision: encoder.EncodeDecision(specifier.Decision{Verdict: specifier.Applied})})
		}
		if err := stream.Send(verdicts); err != nil {
			return err
		}
	}
}

// serve runs a fake controller and returns its address.
func serve(t *testing.T, group *errgroup.Group, r *registry) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := grpc.NewServer()
	encoder.RegisterRegistryServer(server, r)
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(server.Stop)
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// TestUnresponsiveController guards against an entry that waits forever for a controller that leaves proposals
// undecided: the stream stays open, and the entry must switch to another controller by itself.
func TestUnresponsiveController(t *testing.T) {
	var servers errgroup.Group
	controllers := []netip.AddrPort{serve(t, &servers, &registry{unresponsive: true}), serve(t, &servers, &registry{})}
	pool := &dialer.Pool{Credentials: insecure.NewCredentials()}
	t.Cleanup(func() { pool.Close() })
	p := NewProposer()
	p.Controllers, p.Pool, p.Sink, p.Log = controllers, pool, looper.NewMailbox[coordinator.Event](16), zerolog.Nop()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return p.Run(ctx) })
	p.Propose(specifier.DrainMember{Name: "worker-01"})
	event, err := p.Sink.Receive(ctx)
	must.NoError(t, err)
	must.Eq(t, specifier.Applied, event.(coordinator.Decided).Decision.Verdict)
	cancel()
	must.ErrorIs(t, group.Wait(), context.Canceled)
}
