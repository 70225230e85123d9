package supervisor

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Serve returns a part that serves HTTP on listener until its context ends, and then closes all open
// connections. To drain them first, call server.Shutdown in an earlier shutdown step.
func Serve(server *http.Server, listener net.Listener) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { server.Close() })
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s", listener.Addr())
		}
		return nil
	}
}
