package locator

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/relayer"
	"oleandertally/core/timekeeper"
)

// siteTimeout ends a test whose client finds no leader.
const siteTimeout = 30 * time.Second

// relayedSite is a controller that leads, relays, and a client whose direct path to the controller the test cuts.
type relayedSite struct {
	encoder.UnimplementedQueueKeeperServer

	t          *testing.T
	ctx        context.Context
	group      errgroup.Group
	controller netip.AddrPort
	relays     []string
	isCut      atomic.Bool
	found      chan route // each route on which the client found the leader
	opened     atomic.Int64
}

// cutConn is a direct connection of the client. While the path is cut it passes nothing on and reports no error.
type cutConn struct {
	net.Conn
	site *relayedSite
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.site.isCut.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.site.isCut.Load() {
			return n, err
		}
	}
}

func (s *relayedSite) Opened()                { s.opened.Add(1) }
func (s *relayedSite) Closed()                {}
func (s *relayedSite) Copied(int)             {}
func (s *relayedSite) Refused(relayer.Reason) {}

// Attend welcomes a stream and keeps messages on it.
func (s *relayedSite) Attend(stream encoder.QueueKeeper_AttendServer) error {
	message := &encoder.QueueOrder{Welcome: &encoder.QueueWelcome{Leading: true, Leader: s.controller.String(), Relays: s.relays}}
	for stream.Context().Err() == nil {
		if err := stream.Send(message); err != nil {
			return err
		}
		looper.Pause(stream.Context(), 50*time.Millisecond)
	}
	return nil
}

func (s *relayedSite) dial(ctx context.Context, r route) (net.Conn, error) {
	if r.isRelayed() {
		return r.dial(ctx)
	}
	if s.isCut.Load() {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	conn, err := r.dial(ctx)
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, site: s}, nil
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return listener
}

// newRelayedSite starts the controller.
func newRelayedSite(t *testing.T) *relayedSite {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), siteTimeout)
	s := &relayedSite{t: t, ctx: ctx, found: make(chan route, 100)}
	listener := listen(t)
	s.controller = netip.MustParseAddrPort(listener.Addr().String())
	server := grpc.NewServer()
	encoder.RegisterQueueKeeperServer(server, s)
	s.group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		cancel()
		server.Stop()
		_ = s.group.Wait() // ends with the context's error
	})
	return s
}

// addRelay starts a relay that reaches the targets of allowed, and returns a function that kills it.
func (s *relayedSite) addRelay(allowed func(netip.AddrPort) bool) (addr netip.AddrPort, kill func()) {
	s.t.Helper()
	relay := &relayer.Relayer{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Allowed: allowed, Meter: s, Clock: timekeeper.Boot, Log: zerolog.Nop()}
	must.NoError(s.t, relay.Open())
	ctx, cancel := context.WithCancel(s.ctx)
	s.group.Go(func() error { return relay.Run(ctx) })
	s.relays = append(s.relays, relay.Listening().String())
	return relay.Listening(), cancel
}

// addFrozenRelay lists a relay that accepts connections and does not answer.
func (s *relayedSite) addFrozenRelay() {
	listener := listen(s.t)
	s.t.Cleanup(func() { _ = listener.Close() })
	s.relays = append(s.relays, listener.Addr().String())
}

// addDeadRelay lists a relay whose process has ended.
func (s *relayedSite) addDeadRelay() {
	listener := listen(s.t)
	must.NoError(s.t, listener.Close())
	s.relays = append(s.relays, listener.Addr().String())
}

// run starts the client, and returns once it has found the leader directly.
func (s *relayedSite) run() *relayedSite {
	s.t.Helper()
	var l *Locator[*encoder.QueueOrder, *encoder.QueueReport]
	l = &Locator[*encoder.QueueOrder, *encoder.QueueReport]{
		Seeds: []netip.AddrPort{s.controller}, Credentials: insecure.NewCredentials(), IdleTimeout: 500 * time.Millisecond,
		Open: func(ctx context.Context, conn *grpc.ClientConn) (Stream[*encoder.QueueOrder, *encoder.QueueReport], error) {
			return encoder.NewQueueKeeperClient(conn).Attend(ctx)
		},
		Welcome: (*encoder.QueueOrder).GetWelcome,
		Connected: func(_ context.Context, addr netip.AddrPort, _ *looper.Outbox[*encoder.QueueReport]) error {
			s.found <- route{controller: addr, relay: l.Relay()}
			return nil
		},
		Received:     func(context.Context, *encoder.QueueOrder) error { return nil },
		Disconnected: func(context.Context, error) error { return nil },
		dial:         s.dial,
	}
	s.group.Go(func() error { return l.Run(s.ctx) })
	s.mustFindThrough(netip.AddrPort{})
	return s
}

// next returns the route on which the client finds the leader next.
func (s *relayedSite) next() route {
	s.t.Helper()
	select {
	case r := <-s.found:
		return r
	case <-s.ctx.Done():
		s.t.Fatal("the client does not find the leader")
		return route{}
	}
}

func (s *relayedSite) isLeader(addr netip.AddrPort) bool { return addr == s.controller }

func noTarget(netip.AddrPort) bool { return false }
