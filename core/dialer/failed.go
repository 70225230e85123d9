package dialer

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleandertally/core/supervisor"
)

// Failed is called with the method and the panic of a handler. It must not block.
type Failed func(method string, cause *supervisor.PanicError)

// LogTo returns a Failed that writes to a log.
func LogTo(log zerolog.Logger) Failed {
	return func(method string, cause *supervisor.PanicError) {
		log.Error().Str(supervisor.FieldEvent, "HandlerFailed").Str("Method", method).Err(cause).Send()
	}
}

func (f Failed) guardUnary(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (reply any, err error) {
	err = supervisor.Guard(func() error {
		reply, err = handler(ctx, request)
		return err
	})
	return reply, f.translate(info.FullMethod, err)
}

func (f Failed) guardStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	return f.translate(info.FullMethod, supervisor.Guard(func() error { return handler(server, stream) }))
}

// translate reports a panic and returns a status without its text, which is not for callers.
func (f Failed) translate(method string, err error) error {
	var cause *supervisor.PanicError
	if !errors.As(err, &cause) {
		return err
	}
	f(method, cause)
	return status.Error(codes.Internal, "the call failed unexpectedly")
}
