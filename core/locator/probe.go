package locator

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"oleandertally/core/encoder"
)

// probe is a stream to one controller, on a connection of its own: an old connection can stop responding while new ones work.
type probe[In, Out any] struct {
	route    route
	startAt  time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	conn     *grpc.ClientConn
	stream   Stream[In, Out]
	watchdog *time.Timer // cancels ctx when no message has arrived for too long
}

// newProbe returns a probe that is not open.
func newProbe[In, Out any](ctx context.Context, r route) *probe[In, Out] {
	p := &probe[In, Out]{route: r, startAt: time.Now()}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	p.watchdog = time.AfterFunc(answerTimeout, func() { p.cancel(errors.Newf("locator: no message from %s in time", r)) })
	return p
}

// open connects and opens the stream.
func (p *probe[In, Out]) open(l *Locator[In, Out]) error {
	// gRPC passes the address of the controller, which the route holds.
	dial := func(ctx context.Context, _ string) (net.Conn, error) { return l.dial(ctx, p.route) }
	var err error
	p.conn, err = grpc.NewClient("passthrough:///"+p.route.controller.String(), grpc.WithTransportCredentials(l.Credentials),
		grpc.WithContextDialer(dial), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(encoder.MaxMessage), grpc.MaxCallSendMsgSize(encoder.MaxMessage)))
	if err != nil {
		return errors.Wrapf(err, "locator: connect to %s", p.route)
	}
	p.stream, err = l.Open(p.ctx, p.conn)
	return errors.Wrapf(err, "locator: open a stream to %s", p.route)
}

// awaitLeader returns nil once the controller leads. Until then it calls answered for each answer, with the other leader that the
// controller names, or the zero address.
func (p *probe[In, Out]) awaitLeader(l *Locator[In, Out], answered func(leader netip.AddrPort)) error {
	for {
		message, err := p.stream.Recv()
		if err != nil {
			return errors.CombineErrors(context.Cause(p.ctx), err)
		}
		m := l.Welcome(message)
		if m == nil {
			continue
		}
		leader := l.learn(m)
		if m.Leading {
			return nil
		}
		p.watchdog.Reset(leaderTimeout)
		if leader == p.route.controller {
			leader = netip.AddrPort{}
		}
		answered(leader)
	}
}

func (p *probe[In, Out]) close() {
	p.watchdog.Stop()
	p.cancel(nil)
	if p.conn != nil {
		_ = p.conn.Close() // the stream is closed with it
	}
}
