package locator

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"oleandertally/core/encoder"
	"oleandertally/core/looper"
	"oleandertally/core/supervisor"
)

const (
	// answerTimeout is how long a controller may take to report whether it leads. A new leader is busy with all its clients.
	answerTimeout = time.Second
	// maxFirstAddress bounds the random first position in the lists of controllers, by which clients spread over them.
	maxFirstAddress = 1 << 10
)

var (
	// errNotLeading ends a stream to a controller that does not lead.
	errNotLeading = errors.New("the controller does not lead")
	// errDirect ends a stream through a relay when a direct one is open.
	errDirect = errors.New("the leader can be reached without a relay")
)

// Locator keeps a stream to the leading controller. Exported fields are set before Run. Run calls Connected, Received and
// Disconnected, one at a time.
type Locator[In, Out any] struct {
	Seeds        []netip.AddrPort
	OwnRelay     netip.AddrPort // address of the relay in this process, which is not used; zero for none
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

	dial   func(ctx context.Context, r route) (net.Conn, error) // nil for the network; tests cut connections
	direct *probe[In, Out]                                      // replaces the relayed stream that it ended; nil for none
	lost   netip.AddrPort                                       // relay of the last stream; zero if that was direct
}

// Run keeps the stream open until ctx ends, and returns the context's error.
func (l *Locator[In, Out]) Run(ctx context.Context) error {
	l.prepare()
	for ctx.Err() == nil {
		leader := l.direct
		if l.direct = nil; leader == nil {
			leader = (&search[In, Out]{locator: l, first: l.named, plan: l.plan()}).run(ctx)
		}
		if l.named = (netip.AddrPort{}); leader != nil {
			_ = l.serve(ctx, leader) // Disconnected gets the cause
			leader.close()
			l.lost = leader.route.relay
		}
	}
	if l.direct != nil {
		l.direct.close()
	}
	return context.Cause(ctx)
}

func (l *Locator[In, Out]) prepare() {
	if l.dial == nil {
		l.dial = func(ctx context.Context, r route) (net.Conn, error) { return r.dial(ctx) }
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.book.seeds, l.book.ownRelay, l.book.next = l.Seeds, l.OwnRelay, rand.IntN(maxFirstAddress)
}

func (l *Locator[In, Out]) plan() *relayPlan {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.book.plan(time.Now(), l.lost)
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
	return l.book.connected.controller, l.book.known
}

// Relay returns the relay that the open stream passes through, or the zero address if the stream is direct or none is open.
func (l *Locator[In, Out]) Relay() netip.AddrPort {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.book.connected.relay
}

// IsController reports whether an address is that of a known controller.
func (l *Locator[In, Out]) IsController(addr netip.AddrPort) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Contains(l.book.all(), addr) && !slices.Contains(l.book.relays, addr) && addr != l.book.ownRelay
}

func (l *Locator[In, Out]) setConnected(r route) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.book.connected = r; r.controller.IsValid() {
		l.book.leader = r.controller
	}
}

// learn stores the controllers and relays that a welcome lists, and returns the leader that it names, or the zero address.
func (l *Locator[In, Out]) learn(m *encoder.QueueWelcome) netip.AddrPort {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.book.learn(parse(m.Controllers), parse(m.Relays))
	leader, err := netip.ParseAddrPort(m.Leader)
	if err != nil {
		return netip.AddrPort{} // no leader is known
	}
	return leader
}

// parse leaves out what is not an address.
func parse(texts []string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, text := range texts {
		if addr, err := netip.ParseAddrPort(text); err == nil {
			list = append(list, addr)
		}
	}
	return list
}

// serve runs the stream to the leader.
func (l *Locator[In, Out]) serve(ctx context.Context, leader *probe[In, Out]) error {
	l.setConnected(leader.route)
	defer l.setConnected(route{})
	outbox := looper.NewOutbox[Out]()
	if err := l.Connected(ctx, leader.route.controller, outbox); err != nil {
		return err
	}
	group, groupCtx := supervisor.WithContext(leader.ctx)
	group.Go(func() error { return l.send(groupCtx, leader.stream, outbox) })
	group.Go(func() error {
		err := l.receive(groupCtx, leader)
		leader.cancel(err)
		return err
	})
	if leader.route.isRelayed() {
		group.Go(func() error { // receive ends with the stream's context
			err := l.findDirect(groupCtx, ctx, leader.route.controller)
			leader.cancel(err)
			return err
		})
	}
	err := group.Wait()
	return errors.CombineErrors(l.Disconnected(context.WithoutCancel(ctx), err), err)
}

// findDirect tries the direct path to the leader until a stream on it is welcomed by a leader or the relayed one ends. The
// direct stream outlives the relayed one, so its context is derived from streamCtx.
func (l *Locator[In, Out]) findDirect(ctx, streamCtx context.Context, leader netip.AddrPort) error {
	for {
		looper.Pause(ctx, directAttemptDelay(rand.Float64()))
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		p := newProbe[In, Out](streamCtx, route{controller: leader})
		stop := context.AfterFunc(ctx, func() { p.cancel(context.Cause(ctx)) })
		err := p.open(l)
		if err == nil {
			err = p.awaitLeader(l, func(netip.AddrPort) {})
		}
		if stop() && err == nil {
			l.direct = p
			return errDirect
		}
		p.close()
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
