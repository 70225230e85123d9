package dialer

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
)

// Serve returns a part that serves gRPC on listener until its context ends, and then breaks what is still
// open. server.GracefulStop is the step that drains it before; it may come even before the part runs.
func Serve(server *grpc.Server, listener net.Listener) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, server.Stop)
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, grpc.ErrServerStopped) {
			return errors.Wrapf(err, "serve %s", listener.Addr())
		}
		return nil
	}
}
