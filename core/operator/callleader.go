package operator

import (
	"context"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
)

// callLeader calls the controllers in rounds until one answers as the leader.
func callLeader[T any](ctx context.Context, c *Client, do func(context.Context, *grpc.ClientConn) (T, error)) (T, error) {
	unreachable := &UnreachableError{}
	for round := range c.MaxRounds {
		if round > 0 && c.Pause(ctx, c.RoundInterval) != nil {
			break
		}
		unreachable.Tried = nil
		answer, err := tryControllers(ctx, c, unreachable, do)
		if !errors.Is(err, errNoLeader) {
			return answer, err
		}
	}
	var none T
	return none, unreachable
}

// errNoLeader means that no controller answered as the leader in a round.
var errNoLeader = errors.New("no leader in this round")

// tryControllers calls every controller once and records the failures in unreachable. When a controller names the leader,
// the leader is called next.
func tryControllers[T any](ctx context.Context, c *Client, unreachable *UnreachableError, do func(context.Context, *grpc.ClientConn) (T, error)) (T, error) {
	var none T
	var tried []netip.AddrPort
	queue := slices.Clone(c.Controllers)
	for len(queue) > 0 {
		addr := queue[0]
		queue = queue[1:]
		if slices.Contains(tried, addr) {
			continue
		}
		tried = append(tried, addr)
		answer, err := call(ctx, c, addr, do)
		var notLeader *NotLeaderError
		switch {
		case err == nil:
			return answer, nil
		case errors.As(err, &notLeader):
			if notLeader.Leader.IsValid() {
				queue = append([]netip.AddrPort{notLeader.Leader}, queue...)
			}
		case !isRetryable(err):
			return none, translateError(err)
		}
		unreachable.Tried = append(unreachable.Tried, addr.String()+": "+plainMessage(err))
	}
	return none, errNoLeader
}
