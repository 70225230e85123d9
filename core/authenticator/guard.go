package authenticator

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleandertally/core/configurator"
	"oleandertally/core/specifier"
)

// Guard maps the full name of a gRPC method, such as /package.Service/Method, to the roles that may call
// it. Calls of other methods are rejected.
type Guard map[string][]specifier.Role

// ServerOptions returns the options of a gRPC server that enforces guard and rejects messages longer than
// maxMessage.
func (a *Authenticator) ServerOptions(guard Guard, maxMessage configurator.ByteSize) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.Creds(a.ServerCredentials(guard.roles()...)),
		grpc.MaxRecvMsgSize(int(maxMessage)),
		grpc.MaxSendMsgSize(int(maxMessage)),
		grpc.ChainUnaryInterceptor(func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
			if err := a.admit(ctx, guard, info.FullMethod); err != nil {
				return nil, err
			}
			return handler(ctx, request)
		}),
		grpc.ChainStreamInterceptor(func(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
			if err := a.admit(stream.Context(), guard, info.FullMethod); err != nil {
				return err
			}
			return handler(server, stream)
		}),
	}
}

// DialOptions returns the options of a gRPC connection to a process with the role and, unless name is
// empty, with that name.
func (a *Authenticator) DialOptions(role specifier.Role, name string, maxMessage configurator.ByteSize) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(a.ClientCredentials(role, name)),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(int(maxMessage)), grpc.MaxCallSendMsgSize(int(maxMessage))),
	}
}

// roles returns every role that may call at least one method. A role can occur more than once.
func (g Guard) roles() []specifier.Role {
	var all []specifier.Role
	for _, accepted := range g {
		all = append(all, accepted...)
	}
	return all
}

func (a *Authenticator) admit(ctx context.Context, guard Guard, method string) error {
	accepted, listed := guard[method]
	if !listed {
		return status.Error(codes.PermissionDenied, "nobody may call this method")
	}
	if err := a.CheckRole(ctx, accepted...); err != nil {
		return status.Error(codes.PermissionDenied, err.Error())
	}
	return nil
}
