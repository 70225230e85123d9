package dialer

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
)

// Serve returns a part of a supervisor.Group that serves gRPC on listener until its context ends, and then
// closes all open connections. To drain them first, call server.GracefulStop in an earlier shutdown step;
// that is safe even before the part has started.
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
