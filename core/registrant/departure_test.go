package registrant

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
)

// TestMain guards against goroutines that leak from a session or a departure.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var departing = specifier.Identity{Name: "agent-1", Incarnation: 7}

// controller answers every proposal with one decision.
type controller struct {
	encoder.UnimplementedRegistryServer
	decision specifier.Decision
	commands chan specifier.Command
}

func (c *controller) Propose(stream encoder.Registry_ProposeServer) error {
	proposals, err := stream.Recv()
	if err != nil {
		return err
	}
	command, err := encoder.DecodeCommand(proposals.Items[0].Command)
	if err != nil {
		return err
	}
	c.commands <- command
	return stream.Send(&encoder.Verdicts{Items: []*encoder.Verdict{{Sequence: proposals.Items[0].Sequence, Decision: encoder.EncodeDecision(c.decision)}}})
}

func serve(t *testing.T, c *controller) netip.AddrPort {
	t.Helper()
	c.commands = make(chan specifier.Command, 100)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := grpc.NewServer()
	encoder.RegisterRegistryServer(server, c)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return dialer.Serve(server, listener)(ctx) })
	t.Cleanup(func() {
		cancel()
		must.NoError(t, group.Wait())
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

func depart(t *testing.T, ctx context.Context, controllers ...netip.AddrPort) error {
	t.Helper()
	pool := &dialer.Pool{Credentials: insecure.NewCredentials()}
	defer pool.Close()
	departure := &Departure{Identity: departing, Controllers: controllers, Pool: pool}
	return departure.Run(ctx)
}

// Guards against a member that stops without being recorded as Down, so that the others wait for its lease to expire.
func TestDeparture(t *testing.T) {
	t.Run("at the leader that a follower names", func(t *testing.T) {
		leader := &controller{decision: specifier.Decision{Verdict: specifier.Applied}}
		follower := &controller{decision: specifier.Decision{Verdict: specifier.NotLeader, Leader: serve(t, leader)}}
		must.NoError(t, depart(t, t.Context(), serve(t, follower)))
		must.Eq(t, specifier.Command(specifier.EndMember{Identity: departing}), <-leader.commands)
	})
	t.Run("replaced already", func(t *testing.T) {
		must.NoError(t, depart(t, t.Context(), serve(t, &controller{decision: specifier.Decision{Verdict: specifier.Rejected}})))
	})
	t.Run("without a leader", func(t *testing.T) {
		follower := &controller{decision: specifier.Decision{Verdict: specifier.NotLeader}}
		addr := serve(t, follower)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { <-follower.commands; <-follower.commands; cancel(); return nil })
		err := depart(t, ctx, addr)
		must.NoError(t, group.Wait())
		must.True(t, errors.Is(err, context.Canceled))
	})
}
