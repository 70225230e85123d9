package locator

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/supervisor"
)

const (
	// answerTimeout is how long a controller may take to report whether it leads. A new leader is busy with all its clients.
	answerTimeout = time.Second
	// dialTimeout is how long a connection to a controller may take to open.
	dialTimeout = 400 * time.Millisecond
	// maxFirstAddress bounds the random first position in the lists of controllers, by which clients spread over them.
	maxFirstAddress = 1 << 10
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

	idle  atomic.Int64 // time-out that replaces IdleTimeout, in nanoseconds; 0 for none
	mutex sync.Mutex
	book  addressBook
	named netip.AddrPort // leader that the controller named at the end of the last stream; zero if it named none
}

// Run keeps the stream open until ctx ends, and returns the context's error.
func (l *Locator[In, Out]) Run(ctx context.Context) error {
	l.book.seeds, l.book.next = l.Seeds, rand.IntN(maxFirstAddress)
	for ctx.Err() == nil {
		leader := (&search[In, Out]{locator: l, first: l.named}).run(ctx)
		if l.named = (netip.AddrPort{}); leader != nil {
			_ = l.serve(ctx, leader) // Disconnected gets the cause
			leader.close()
		}
	}
	return context.Cause(ctx)
}

// pick returns the next address that is not excluded, or the zero address.
func (l *Locator[In, Out]) pick(excluded func(netip.AddrPort) bool) netip.AddrPort {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.book.pick(excluded)
}

// SetSeeds replaces the configured addresses of controllers.
func (l *Locator[In, Out]) SetSeeds(seeds []netip.AddrPort) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.book.seeds = seeds
}

// SetIdleTimeout replaces IdleTimeout from the next message on.
func (l *Locator[In, Out]) SetIdleTimeout(timeout time.Duration) { l.idle.Store(int64(timeout)) }

func (l *Locator[In, Out]) idleTimeout() time.Duration {
	if timeout := time.Duration(l.idle.Load()); timeout > 0 {
		return timeout
	}
	return l.IdleTimeout
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

// learn stores the controllers that a welcome lists, and returns the leader that it names, or the zero address.
func (l *Locator[In, Out]) learn(m *encoder.QueueWelcome) netip.AddrPort {
	var controllers []netip.AddrPort
	for _, text := range m.Controllers {
		if addr, err := netip.ParseAddrPort(text); err == nil {
			controllers = append(controllers, addr)
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.book.learn(controllers)
	leader, err := netip.ParseAddrPort(m.Leader)
	if err != nil {
		return netip.AddrPort{} // no leader is known
	}
	return leader
}

// serve runs the stream to the leader.
func (l *Locator[In, Out]) serve(ctx context.Context, leader *probe[In, Out]) error {
	l.setConnected(leader.addr)
	defer l.setConnected(netip.AddrPort{})
	outbox := looper.NewOutbox[Out]()
	if err := l.Connected(ctx, leader.addr, outbox); err != nil {
		return err
	}
	group, groupCtx := supervisor.WithContext(leader.ctx)
	group.Go(func() error { return l.send(groupCtx, leader.stream, outbox) })
	group.Go(func() error {
		err := l.receive(groupCtx, leader)
		leader.cancel(err)
		return err
	})
	err := group.Wait()
	return errors.CombineErrors(l.Disconnected(context.WithoutCancel(ctx), err), err)
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

func (l *Locator[In, Out]) receive(ctx context.Context, leader *probe[In, Out]) error {
	leader.watchdog.Reset(l.idleTimeout())
	for {
		message, err := leader.stream.Recv()
		if err != nil {
			return err
		}
		leader.watchdog.Reset(l.idleTimeout())
		if m := l.Welcome(message); m != nil {
			named := l.learn(m)
			if !m.Leading {
				l.named = named
				return errNotLeading
			}
		}
		if err := l.Received(ctx, message); err != nil {
			return err
		}
	}
}

// dialerTo returns a function that opens connections to one controller. They fail soon after the other side stops acknowledging sent bytes. The function
// ignores the address that gRPC passes, which is the same one.
func dialerTo(addr netip.AddrPort) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, _ string) (net.Conn, error) {
		redialer := dialer.Redialer{Timeout: dialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			return errors.CombineErrors(err, failed)
		}}
		return redialer.Dial(ctx, addr)
	}
}
