package locator

import (
	"context"
	"io"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"oleandertally/core/encoder"
	"oleandertally/core/looper"
)

// fakeSite is a set of controllers that send welcomes at set times, on a clock that the test holds.
type fakeSite struct {
	start       time.Time
	controllers map[string][]welcomeAt
	opened      map[string]int
	listensAt   map[string]time.Duration // when a controller begins to listen; earlier streams to it fail
}

// welcomeAt is a welcome that a controller sends at a time since the start, to streams that are open or opened later.
type welcomeAt struct {
	at      time.Duration
	welcome *encoder.QueueWelcome
}

// fakeStream is a stream to a controller of a fakeSite.
type fakeStream struct {
	ctx   context.Context
	site  *fakeSite
	queue []welcomeAt
}

func (s *fakeStream) Send(struct{}) error { return nil }

func (s *fakeStream) Recv() (*encoder.QueueWelcome, error) {
	if len(s.queue) == 0 {
		<-s.ctx.Done()
		return nil, context.Cause(s.ctx)
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	select {
	case <-time.After(time.Until(s.site.start.Add(next.at))):
		return next.welcome, nil
	case <-s.ctx.Done():
		return nil, context.Cause(s.ctx)
	}
}

func (f *fakeSite) open(ctx context.Context, conn *grpc.ClientConn) (Stream[*encoder.QueueWelcome, struct{}], error) {
	addr := strings.TrimPrefix(conn.CanonicalTarget(), "passthrough:///")
	f.opened[addr]++
	plan, known := f.controllers[addr]
	if !known || time.Since(f.start) < f.listensAt[addr] {
		return nil, io.ErrUnexpectedEOF
	}
	stream := &fakeStream{ctx: ctx, site: f}
	for _, each := range plan {
		if len(stream.queue) == 1 && each.at <= time.Since(f.start) {
			stream.queue = nil // a new stream begins with the newest welcome
		}
		stream.queue = append(stream.queue, each)
	}
	return stream, nil
}

// mustFind runs a locator with the given seeds until it finds a leader, and returns the leader and how long it took.
func mustFind(t *testing.T, site *fakeSite, seeds ...string) (leader netip.AddrPort, took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		site.start, site.opened = time.Now(), make(map[string]int)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		l := &Locator[*encoder.QueueWelcome, struct{}]{
			Credentials: insecure.NewCredentials(), IdleTimeout: time.Minute, Open: site.open,
			Welcome: func(m *encoder.QueueWelcome) *encoder.QueueWelcome { return m },
			Connected: func(_ context.Context, addr netip.AddrPort, _ *looper.Outbox[struct{}]) error {
				leader, took = addr, time.Since(site.start)
				cancel()
				return nil
			},
			Received:     func(context.Context, *encoder.QueueWelcome) error { return nil },
			Disconnected: func(context.Context, error) error { return nil },
		}
		for _, seed := range seeds {
			l.Seeds = append(l.Seeds, netip.MustParseAddrPort(seed))
		}
		must.Error(t, l.Run(ctx))
	})
	must.True(t, leader.IsValid())
	return leader, took
}
