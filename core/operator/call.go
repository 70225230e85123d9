package operator

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// maxReplyBytes limits the size of one reply. The largest reply contains all events of one process.
const maxReplyBytes = 64 << 20

// call connects to addr for one call, which is limited to AttemptTimeout.
func call[T any](ctx context.Context, c *Client, addr netip.AddrPort, do func(context.Context, *grpc.ClientConn) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.AttemptTimeout)
	defer cancel()
	options := []grpc.DialOption{grpc.WithNoProxy(), grpc.WithTransportCredentials(c.credentialsFor(addr)),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReplyBytes))}
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

// isRetryable reports whether the call may succeed at another controller.
func isRetryable(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled, codes.Aborted, codes.ResourceExhausted:
		return true
	}
	return false
}

// translateError converts a controller's refusal into an error for the operator.
func translateError(err error) error {
	switch status.Code(err) {
	case codes.NotFound:
		return ErrRevisionUnavailable
	case codes.Unimplemented:
		return errors.Newf("the process has no Operator service, so it is not a controller: %s", plainMessage(err))
	case codes.Unauthenticated, codes.PermissionDenied:
		return errors.Newf("the controller does not admit the request: %s", plainMessage(err))
	case codes.InvalidArgument:
		return errors.Newf("the controller refuses the request: %s", plainMessage(err))
	}
	return err
}

// plainMessage returns the message of err without gRPC's prefix.
func plainMessage(err error) string {
	if s, ok := status.FromError(err); ok {
		return s.Message()
	}
	return err.Error()
}
