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
	// answerWithin is how long a controller may take to say whether it leads.
	answerWithin = 400 * time.Millisecond
	// newsWithin is how long to wait at a follower for the name of a leader.
	newsWithin = 400 * time.Millisecond
	// pauseMost bounds the random pause before another controller is tried.
	pauseMost = 60 * time.Millisecond
	// unackedMost is how long sent bytes may stay unacknowledged before a connection counts as broken.
	unackedMost = 800 * time.Millisecond
)

// errNotLeading ends a stream to a controller that does not lead.
var errNotLeading = errors.New("the controller does not lead")

// Locator keeps a stream to the leading controller. Exported fields are set before Run. Linked, Received and Unlinked are called
// by Run, one at a time.
type Locator[In, Out any] struct {
	Seeds        []netip.AddrPort
	Credentials  credentials.TransportCredentials
	IdleTimeout  time.Duration // without a message for this long a stream counts as broken
	Open         func(ctx context.Context, conn *grpc.ClientConn) (Stream[In, Out], error)
	Welcome      func(In) *encoder.QueueWelcome // nil for a message without one
	Merge        func([]Out) []Out              // makes fewer messages of those that wait; nil for none
	Connected    func(ctx context.Context, controller netip.AddrPort, box *looper.Outbox[Out]) error
	Received     func(ctx context.Context, message In) error
	Disconnected func(ctx context.Context, cause error) error

	mutex sync.Mutex
	book  book
}

// Run returns the context's error when ctx ends.
func (l *Locator[In, Out]) Run(ctx context.Context) error {
	l.book.seeds = l.Seeds
	for ctx.Err() == nil {
		addr := l.pick()
		if addr.IsValid() {
			_ = l.session(ctx, addr) // Unlinked gets the cause
		}
		if l.hasLeader() {
			continue
		}
		looper.Pause(ctx, time.Duration(rand.Int64N(int64(pauseMost))))
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

// SetSeeds replaces the addresses of the settings.
func (l *Locator[In, Out]) SetSeeds(seeds []netip.AddrPort) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.book.seeds = seeds
}

// Known returns the leader, or the zero address while none is linked, and the controllers that one of them told last.
func (l *Locator[In, Out]) KnownControllers() (leader netip.AddrPort, controllers []netip.AddrPort) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.book.linked, l.book.known
}

func (l *Locator[In, Out]) setLinked(addr netip.AddrPort) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.book.linked = addr
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

// session runs one stream. Every session has a connection of its own: a connection can go silent while new ones work.
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
	watchdog := time.AfterFunc(answerWithin, func() { cancel(errors.Newf("locator: %s is silent", addr)) })
	defer watchdog.Stop()
	stream, err := l.Open(ctx, conn)
	if err != nil {
		return errors.Wrapf(err, "locator: open a stream to %s", addr)
	}
	if err := l.await(stream, addr, watchdog); err != nil {
		return err
	}
	l.setLinked(addr)
	defer l.setLinked(netip.AddrPort{})
	box := looper.NewOutbox[Out]()
	if err := l.Connected(ctx, addr, box); err != nil {
		return err
	}
	group.Go(func() error { return l.send(ctx, stream, box) })
	group.Go(func() error {
		err := l.receive(ctx, stream, addr, watchdog)
		cancel(err)
		return err
	})
	err = group.Wait()
	return errors.CombineErrors(l.Disconnected(context.WithoutCancel(ctx), err), err)
}

// await returns nil once the controller leads. At a follower it waits for news of a leader.
func (l *Locator[In, Out]) await(stream Stream[In, Out], addr netip.AddrPort, watchdog *time.Timer) error {
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
		watchdog.Reset(newsWithin)
	}
}

func (l *Locator[In, Out]) send(ctx context.Context, stream Stream[In, Out], box *looper.Outbox[Out]) error {
	for {
		items, err := box.Take(ctx)
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

// dialer opens connections to one controller that fail soon after the other side stops to acknowledge. The text that gRPC passes is the
// same address.
func dialer(addr netip.AddrPort) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, _ string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: answerWithin, Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedMost.Milliseconds()))
			})
			return errors.CombineErrors(err, failed)
		}}
		return dialer.DialContext(ctx, "tcp", addr.String())
	}
}
