package redirector

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"oleandertally/core/encoder"
	"oleandertally/state/transporter"
)

var (
	leader = netip.MustParseAddrPort("127.7.7.1:7000")
	other  = netip.MustParseAddrPort("127.7.7.2:7000")
)

// connect runs a redirector that knows two controllers, and returns a connection to it.
func connect(t *testing.T) *grpc.ClientConn {
	t.Helper()
	r := &Redirector{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Credentials: insecure.NewCredentials(),
		Known: func() (netip.AddrPort, []netip.AddrPort) { return leader, []netip.AddrPort{leader, other} }}
	must.NoError(t, r.Open())
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.Run(ctx) })
	conn, err := grpc.NewClient("passthrough:///"+r.listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	must.NoError(t, err)
	t.Cleanup(func() {
		must.NoError(t, conn.Close())
		cancel()
		must.ErrorIs(t, group.Wait(), context.Canceled)
	})
	return conn
}

func assertWelcome(t *testing.T, welcome *encoder.QueueWelcome) {
	t.Helper()
	must.False(t, welcome.GetLeading())
	must.Eq(t, leader.String(), welcome.GetLeader())
	must.Eq(t, []string{leader.String(), other.String()}, welcome.GetControllers())
}

// Guards against entries, agents and controllers that find no leader when their settings name only hosts without a disk.
func TestRedirects(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	conn := connect(t)
	t.Run("entry", func(t *testing.T) {
		stream, err := encoder.NewQueueKeeperClient(conn).Call(ctx)
		must.NoError(t, err)
		replies, err := stream.Recv()
		must.NoError(t, err)
		assertWelcome(t, replies.Welcome)
		must.NoError(t, stream.CloseSend())
	})
	t.Run("agent", func(t *testing.T) {
		stream, err := encoder.NewQueueKeeperClient(conn).Attend(ctx)
		must.NoError(t, err)
		order, err := stream.Recv()
		must.NoError(t, err)
		assertWelcome(t, order.Welcome)
		must.NoError(t, stream.CloseSend())
	})
	t.Run("controller", func(t *testing.T) {
		reply, err := transporter.NewReplicaClient(conn).Join(ctx, &transporter.JoinRequest{})
		must.NoError(t, err)
		must.False(t, reply.Member)
		must.Eq(t, leader.String(), reply.Leader)
	})
}

// Guards against a missing field that shows only when a stream fails.
func TestCheck(t *testing.T) {
	must.ErrorContains(t, (&Redirector{}).Open(), "Addr")
	must.ErrorContains(t, (&Redirector{Addr: leader}).Open(), "Credentials")
}
