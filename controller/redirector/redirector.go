package redirector

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc/credentials"

	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/supervisor"
	"oleandertally/state/transporter"
)

// Redirector sends the addresses of the controllers to whoever connects. Exported fields are set before Run.
type Redirector struct {
	Addr        netip.AddrPort
	Credentials credentials.TransportCredentials
	// Known returns the leader, or the zero address if it is unknown, and the controllers of the last list that a leader sent.
	Known func() (leader netip.AddrPort, controllers []netip.AddrPort)
	Log   zerolog.Logger

	listener net.Listener
}

// Check returns an error that names the first field that is not set.
func (r *Redirector) Check() error {
	switch {
	case !r.Addr.IsValid():
		return errors.New("redirector: Addr: is not set")
	case r.Credentials == nil:
		return errors.New("redirector: Credentials: is not set")
	case r.Known == nil:
		return errors.New("redirector: Known: is not set")
	}
	return nil
}

// Open listens at Addr.
func (r *Redirector) Open() error {
	if err := r.Check(); err != nil {
		return err
	}
	var err error
	r.listener, err = net.Listen("tcp", r.Addr.String())
	return errors.Wrap(err, "redirector: listen on Addr")
}

// Run serves until ctx ends. Open must be called before.
func (r *Redirector) Run(ctx context.Context) error {
	server := dialer.NewServer(r.Credentials, dialer.LogTo(r.Log))
	encoder.RegisterQueueKeeperServer(server, &queues{leaderAndControllers: r.Known})
	transporter.RegisterReplicaServer(server, &replica{leaderAndControllers: r.Known})
	group, ctx := supervisor.WithContext(ctx)
	group.Go(func() error { return errors.Wrap(server.Serve(r.listener), "redirector: serve") })
	group.Go(func() error {
		defer server.Stop()
		<-ctx.Done()
		return context.Cause(ctx)
	})
	return group.Wait()
}
