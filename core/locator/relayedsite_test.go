package locator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/relayer"
	"oleandertally/core/timekeeper"
)

// siteTimeout ends a test whose client finds no leader.
const siteTimeout = 30 * time.Second

// relayedSite is a controller that leads, relays, and clients whose direct path to the controller the test cuts. The controller uses TLS.
type relayedSite struct {
	encoder.UnimplementedQueueKeeperServer

	t          *testing.T
	ctx        context.Context
	group      errgroup.Group
	controller netip.AddrPort
	relays     []string
	server     *grpc.Server
	trusted    credentials.TransportCredentials // of clients, which check the controller's certificate
	isCut      atomic.Bool                      // the clients' direct connections pass nothing on, and no new one opens
	isDeaf     atomic.Bool                      // the same for the data to the clients only
	frozen     atomic.Value                     // netip.AddrPort of a relay whose connections pass nothing on
	opened     atomic.Int64
}

// relayedClient is a client of a relayedSite.
type relayedClient struct {
	site  *relayedSite
	found chan route // each route on which it found the leader
}

// cutConn is a connection of a client. While its path is cut it passes nothing on and reports no error.
type cutConn struct {
	net.Conn
	mayWrite, mayRead func() bool
}

func (c *cutConn) Write(p []byte) (int, error) {
	if !c.mayWrite() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || c.mayRead() {
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
	if !r.isRelayed() && s.isCut.Load() {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	conn, err := r.dial(ctx)
	if err != nil {
		return nil, err
	}
	if r.isRelayed() {
		thawed := func() bool { return s.frozen.Load() != r.relay }
		return &cutConn{Conn: conn, mayWrite: thawed, mayRead: thawed}, nil
	}
	return &cutConn{Conn: conn, mayWrite: func() bool { return !s.isCut.Load() },
		mayRead: func() bool { return !s.isCut.Load() && !s.isDeaf.Load() }}, nil
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
	certified := httptest.NewTLSServer(nil) // has a certificate for loopback
	certified.Close()
	pool := x509.NewCertPool()
	pool.AddCert(certified.Certificate())
	s := &relayedSite{t: t, ctx: ctx, trusted: credentials.NewTLS(&tls.Config{RootCAs: pool}),
		server: grpc.NewServer(grpc.Creds(credentials.NewTLS(&tls.Config{Certificates: certified.TLS.Certificates})))}
	listener := listen(t)
	s.controller = netip.MustParseAddrPort(listener.Addr().String())
	encoder.RegisterQueueKeeperServer(s.server, s)
	s.group.Go(func() error { return s.server.Serve(listener) })
	t.Cleanup(func() {
		cancel()
		s.server.Stop()
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

// addFullRelay lists a relay that refuses every connection.
func (s *relayedSite) addFullRelay() {
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	s.t.Cleanup(full.Close)
	s.relays = append(s.relays, full.Listener.Addr().String())
}

// start starts a client, and returns once it has found the leader directly.
func (s *relayedSite) start() *relayedClient {
	s.t.Helper()
	c := &relayedClient{site: s, found: make(chan route, 100)}
	var l *Locator[*encoder.QueueOrder, *encoder.QueueReport]
	l = &Locator[*encoder.QueueOrder, *encoder.QueueReport]{
		Seeds: []netip.AddrPort{s.controller}, Credentials: s.trusted, IdleTimeout: 500 * time.Millisecond,
		Open: func(ctx context.Context, conn *grpc.ClientConn) (Stream[*encoder.QueueOrder, *encoder.QueueReport], error) {
			return encoder.NewQueueKeeperClient(conn).Attend(ctx)
		},
		Welcome: (*encoder.QueueOrder).GetWelcome,
		Connected: func(_ context.Context, addr netip.AddrPort, _ *looper.Outbox[*encoder.QueueReport]) error {
			c.found <- route{controller: addr, relay: l.Relay()}
			return nil
		},
		Received:     func(context.Context, *encoder.QueueOrder) error { return nil },
		Disconnected: func(context.Context, error) error { return nil },
		dial:         s.dial,
	}
	s.group.Go(func() error { return l.Run(s.ctx) })
	c.mustFindThrough(netip.AddrPort{})
	return c
}

// next returns the route on which the client finds the leader next.
func (c *relayedClient) next() route {
	c.site.t.Helper()
	select {
	case r := <-c.found:
		return r
	case <-c.site.ctx.Done():
		c.site.t.Fatal("the client does not find the leader")
		return route{}
	}
}

// mustFindThrough checks that the client next finds the leader through a relay, or directly for the zero address.
func (c *relayedClient) mustFindThrough(relay netip.AddrPort) {
	c.site.t.Helper()
	must.Eq(c.site.t, route{controller: c.site.controller, relay: relay}, c.next())
}

func (s *relayedSite) isLeader(addr netip.AddrPort) bool { return addr == s.controller }

func noTarget(netip.AddrPort) bool { return false }
