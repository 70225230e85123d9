package operator

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// maxReply bounds one reply, in bytes: the events of one process at most.
const maxReply = 64 << 20

// call dials addr for one call, limited to AttemptTimeout.
func call[T any](ctx context.Context, c *Client, addr netip.AddrPort, do func(context.Context, *grpc.ClientConn) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.AttemptTimeout)
	defer cancel()
	options := []grpc.DialOption{grpc.WithNoProxy(), grpc.WithTransportCredentials(c.credentialsFor(addr)),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReply))}
	if c.PerRPC != nil {
		options = append(options, grpc.WithPerRPCCredentials(c.PerRPC))
	}
	conn, err := grpc.NewClient("passthrough:///"+addr.String(), options...)
	if err != nil {
		var none T
		return none, errors.Wrapf(err, "dial %s", addr)
	}
	defer conn.Close()
	return do(ctx, conn)
}

// isTransport reports whether another controller may answer.
func isTransport(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled, codes.Aborted, codes.ResourceExhausted:
		return true
	}
	return false
}

// translate turns a controller's refusal into this package's errors.
func translate(err error) error {
	switch status.Code(err) {
	case codes.NotFound:
		return ErrRevisionUnavailable
	case codes.Unimplemented:
		return errors.Newf("the process has no Operator service, so it is not a controller: %s", plain(err))
	case codes.Unauthenticated, codes.PermissionDenied:
		return errors.Newf("the controller does not admit the request: %s", plain(err))
	case codes.InvalidArgument:
		return errors.Newf("the controller refuses the request: %s", plain(err))
	}
	return err
}

// plain returns the message without gRPC's prefix.
func plain(err error) string {
	if s, ok := status.FromError(err); ok {
		return s.Message()
	}
	return err.Error()
}
