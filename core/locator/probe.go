package locator

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"oleandertally/core/encoder"
)

// probe is a stream to one controller, on a connection of its own: an old connection can stop responding while new ones work.
type probe[In, Out any] struct {
	addr     netip.AddrPort
	startAt  time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	conn     *grpc.ClientConn
	stream   Stream[In, Out]
	watchdog *time.Timer // cancels ctx when no message has arrived for too long
}

// newProbe returns a probe that is not open.
func newProbe[In, Out any](ctx context.Context, addr netip.AddrPort) *probe[In, Out] {
	p := &probe[In, Out]{addr: addr, startAt: time.Now()}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	p.watchdog = time.AfterFunc(answerTimeout, func() { p.cancel(errors.Newf("locator: no message from %s in time", addr)) })
	return p
}

// open connects and opens the stream.
func (p *probe[In, Out]) open(l *Locator[In, Out]) error {
	var err error
	p.conn, err = grpc.NewClient("passthrough:///"+p.addr.String(), grpc.WithTransportCredentials(l.Credentials),
		grpc.WithContextDialer(dialerTo(p.addr)), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(encoder.MaxMessage), grpc.MaxCallSendMsgSize(encoder.MaxMessage)))
	if err != nil {
		return errors.Wrapf(err, "locator: connect to %s", p.addr)
	}
	p.stream, err = l.Open(p.ctx, p.conn)
	return errors.Wrapf(err, "locator: open a stream to %s", p.addr)
}

// awaitLeader returns nil once the controller leads. It calls named for each other leader that the controller names.
func (p *probe[In, Out]) awaitLeader(l *Locator[In, Out], named func(netip.AddrPort)) error {
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
		if leader.IsValid() && leader != p.addr {
			named(leader)
		}
	}
}

func (p *probe[In, Out]) close() {
	p.watchdog.Stop()
	p.cancel(nil)
	if p.conn != nil {
		_ = p.conn.Close() // the stream is closed with it
	}
}
