package operator

import (
	"context"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
)

// follow asks the controllers in rounds until one answers as the leader.
func follow[T any](ctx context.Context, c *Client, do func(context.Context, *grpc.ClientConn) (T, error)) (T, error) {
	failed := &UnreachableError{}
	for round := range c.MaxRounds {
		if round > 0 && c.Pause(ctx, c.RoundInterval) != nil {
			break
		}
		failed.Tried = nil
		answer, err := askAll(ctx, c, failed, do)
		if !errors.Is(err, errNoLeader) {
			return answer, err
		}
	}
	var none T
	return none, failed
}

// errNoLeader ends a round in which no controller answered as the leader.
var errNoLeader = errors.New("no leader in this round")

// askAll asks every controller once, a named leader next, and notes the failures.
func askAll[T any](ctx context.Context, c *Client, failed *UnreachableError, do func(context.Context, *grpc.ClientConn) (T, error)) (T, error) {
	var none T
	var tried []netip.AddrPort
	waiting := slices.Clone(c.Controllers)
	for len(waiting) > 0 {
		addr := waiting[0]
		waiting = waiting[1:]
		if slices.Contains(tried, addr) {
			continue
		}
		tried = append(tried, addr)
		answer, err := call(ctx, c, addr, do)
		var elsewhere *NotLeaderError
		switch {
		case err == nil:
			return answer, nil
		case errors.As(err, &elsewhere):
			if elsewhere.Leader.IsValid() {
				waiting = append([]netip.AddrPort{elsewhere.Leader}, waiting...)
			}
		case !isTransport(err):
			return none, translate(err)
		}
		failed.Tried = append(failed.Tried, addr.String()+": "+plain(err))
	}
	return none, errNoLeader
}
