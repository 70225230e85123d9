package locator

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"oleandertally/core/encoder"
	"oleandertally/core/looper"
)

const (
	// answerTimeout is how long a controller may take to report whether it leads.
	answerTimeout = 400 * time.Millisecond
	// leaderTimeout is how long to wait for a follower to name a leader.
	leaderTimeout = 400 * time.Millisecond
	// maxRetryDelay bounds the random delay before another controller is tried.
	maxRetryDelay = 60 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before a connection is treated as broken.
	unackedTimeout = 800 * time.Millisecond
)

// errNotLeading ends a stream to a controller that does not lead.
var errNotLeading = errors.New("the controller does not lead")

// Locator keeps a stream to the leading controller. Exported fields are set before Run. Run calls Connected, Received and
// Disconnected, one at a time.
type Locator[In, Out any] struct {
	Seeds        []netip.AddrPort
	Credentials  credentials.TransportCredentials
	IdleTimeout  time.Duration // a stream without a message for this long is treated as broken
	Open         func(ctx context.Context, conn *grpc.ClientConn) (Stream[In, Out], error)
	Welcome      func(In) *encoder.QueueWelcome // returns nil for a message without one
	Merge        func([]Out) []Out              // combines waiting messages into fewer; may be nil
	Connected    func(ctx context.Context, controller netip.AddrPort, outbox *looper.Outbox[Out]) error
	Received     func(ctx context.Context, message In) error
	Disconnected func(ctx context.Context, cause error) error

	mutex sync.Mutex
	book  addressBook
}

// Run keeps the stream open until ctx ends, and returns the context's error.
func (l *Locator[In, Out]) Run(ctx context.Context) error {
	l.book.seeds = l.Seeds
	for ctx.Err() == nil {
		addr := l.pick()
		if addr.IsValid() {
			_ = l.session(ctx, addr) // Disconnected gets the cause
		}
		if l.hasLeader() {
			continue
		}
		looper.Pause(ctx, time.Duration(rand.Int64N(int64(maxRetryDelay))))
	}
	return context.Cause(ctx)
}

func (l *Locator[In, Out]) pick() netip.AddrPort {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.book.pick()
}

func (l *Locator[In, Out]) hasLeader() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.book.leader.IsValid()
}

// SetSeeds replaces the configured addresses of controllers.
func (l *Locator[In, Out]) SetSeeds(seeds []netip.AddrPort) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.book.seeds = seeds
}

// KnownControllers returns the leader, or the zero address while no stream is open, and the controllers in the newest list
// that a controller sent.
func (l *Locator[In, Out]) KnownControllers() (leader netip.AddrPort, controllers []netip.AddrPort) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.book.connected, l.book.known
}

func (l *Locator[In, Out]) setConnected(addr netip.AddrPort) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.book.connected = addr
}

func (l *Locator[In, Out]) learn(m *encoder.QueueWelcome, at netip.AddrPort) {
	var controllers []netip.AddrPort
	for _, text := range m.Controllers {
		if addr, err := netip.ParseAddrPort(text); err == nil {
			controllers = append(controllers, addr)
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.book.learn(controllers)
	if leader, err := netip.ParseAddrPort(m.Leader); err == nil && leader != at && !m.Leading {
		l.book.leader = leader
	}
}

// session runs one stream. Every session has its own connection: an old connection can stop responding while new ones work.
func (l *Locator[In, Out]) session(ctx context.Context, addr netip.AddrPort) error {
	conn, err := grpc.NewClient("passthrough:///"+addr.String(), grpc.WithTransportCredentials(l.Credentials),
		grpc.WithContextDialer(dialer(addr)), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(encoder.MaxMessage), grpc.MaxCallSendMsgSize(encoder.MaxMessage)))
	if err != nil {
		return errors.Wrapf(err, "locator: connect to %s", addr)
	}
	defer conn.Close()
	group, ctx := errgroup.WithContext(ctx)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(answerTimeout, func() { cancel(errors.Newf("locator: no message from %s in time", addr)) })
	defer watchdog.Stop()
	stream, err := l.Open(ctx, conn)
	if err != nil {
		return errors.Wrapf(err, "locator: open a stream to %s", addr)
	}
	if err := l.awaitLeader(stream, addr, watchdog); err != nil {
		return err
	}
	l.setConnected(addr)
	defer l.setConnected(netip.AddrPort{})
	outbox := looper.NewOutbox[Out]()
	if err := l.Connected(ctx, addr, outbox); err != nil {
		return err
	}
	group.Go(func() error { return l.send(ctx, stream, outbox) })
	group.Go(func() error {
		err := l.receive(ctx, stream, addr, watchdog)
		cancel(err)
		return err
	})
	err = group.Wait()
	return errors.CombineErrors(l.Disconnected(context.WithoutCancel(ctx), err), err)
}

// awaitLeader returns nil once the controller leads, and errNotLeading once it names another leader.
func (l *Locator[In, Out]) awaitLeader(stream Stream[In, Out], addr netip.AddrPort, watchdog *time.Timer) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		m := l.Welcome(message)
		if m == nil {
			continue
		}
		l.learn(m, addr)
		if m.Leading {
			watchdog.Reset(l.IdleTimeout)
			return nil
		}
		if l.hasLeader() {
			return errNotLeading
		}
		watchdog.Reset(leaderTimeout)
	}
}

func (l *Locator[In, Out]) send(ctx context.Context, stream Stream[In, Out], outbox *looper.Outbox[Out]) error {
	for {
		items, err := outbox.Take(ctx)
		if err != nil {
			return err
		}
		if l.Merge != nil {
			items = l.Merge(items)
		}
		for _, item := range items {
			if err := stream.Send(item); err != nil {
				return err
			}
		}
	}
}

func (l *Locator[In, Out]) receive(ctx context.Context, stream Stream[In, Out], addr netip.AddrPort, watchdog *time.Timer) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		watchdog.Reset(l.IdleTimeout)
		if m := l.Welcome(message); m != nil {
			l.learn(m, addr)
			if !m.Leading {
				return errNotLeading
			}
		}
		if err := l.Received(ctx, message); err != nil {
			return err
		}
	}
}

// dialer opens connections to one controller. They fail soon after the other side stops acknowledging sent bytes. The dialer
// ignores the address that gRPC passes, which is the same one.
func dialer(addr netip.AddrPort) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, _ string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: answerTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			return errors.CombineErrors(err, failed)
		}}
		return dialer.DialContext(ctx, "tcp", addr.String())
	}
}
