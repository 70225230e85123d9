package dialer

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// defaultRedialInterval is longer than a connection takes to open between regions, mostly.
const defaultRedialInterval = 100 * time.Millisecond

// Redialer opens TCP connections to hosts that may have no power yet. The kernel repeats an unanswered SYN only after a second, so the
// Redialer begins another attempt after each Interval, and returns the first connection that opens. A refused connection is an error at once.
type Redialer struct {
	Interval time.Duration // default 100 ms
	Timeout  time.Duration // of all attempts together; 0 for the deadline of the context
	Control  func(network, address string, raw syscall.RawConn) error

	dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) // replaced by tests
}

// attempt is the outcome of one attempt to connect.
type attempt struct {
	conn net.Conn
	err  error
}

// Dial connects to addr.
func (r *Redialer) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	dial, interval := r.dial, r.Interval
	if dial == nil {
		dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			return (&net.Dialer{Control: r.Control}).DialContext(ctx, "tcp", addr.String())
		}
	}
	if interval == 0 {
		interval = defaultRedialInterval
	}
	if r.Timeout > 0 {
		limited, end := context.WithTimeout(ctx, r.Timeout)
		defer end()
		ctx = limited
	}
	ctx, cancel := context.WithCancel(ctx)
	attempts := make(chan attempt)
	var group errgroup.Group
	defer func() {
		cancel()
		_ = group.Wait() // always nil: the errors are in the attempts
	}()
	start := func() {
		group.Go(func() error {
			conn, err := dial(ctx, addr)
			select {
			case attempts <- attempt{conn, err}:
			case <-ctx.Done():
				if conn != nil {
					_ = conn.Close() // another attempt has succeeded, or nobody waits any more
				}
			}
			return nil
		})
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for start(); ; {
		select {
		case got := <-attempts:
			return got.conn, got.err
		case <-ticker.C:
			start()
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}
