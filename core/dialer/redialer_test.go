package dialer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a connection that opens only a second after its host has got power, because the first packet was lost.
func TestRedialer(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	unanswered := func(ctx context.Context) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	t.Run("a later attempt opens while the first is not answered", func(t *testing.T) {
		var count atomic.Int64
		r := &Redialer{Interval: time.Millisecond, dial: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			if count.Add(1) < 3 {
				return unanswered(ctx)
			}
			return ours, nil
		}}
		conn, err := r.Dial(t.Context(), netip.AddrPort{})
		must.NoError(t, err)
		must.Eq(t, ours, conn)
	})
	t.Run("a refused connection is an error at once", func(t *testing.T) {
		r := &Redialer{Interval: time.Hour, dial: func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, net.ErrClosed }}
		_, err := r.Dial(t.Context(), netip.AddrPort{})
		must.ErrorIs(t, err, net.ErrClosed)
	})
	t.Run("all attempts end with the time-out", func(t *testing.T) {
		r := &Redialer{Interval: time.Millisecond, Timeout: 5 * time.Millisecond, dial: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) { return unanswered(ctx) }}
		_, err := r.Dial(t.Context(), netip.AddrPort{})
		must.ErrorIs(t, err, context.DeadlineExceeded)
	})
}
