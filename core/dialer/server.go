package dialer

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"oleandertally/core/encoder"
)

// NewServer returns a gRPC server whose limits match those of Pool. failed is called with the panic of a handler.
func NewServer(credentials credentials.TransportCredentials, failed Failed, options ...grpc.ServerOption) *grpc.Server {
	options = append(options,
		grpc.Creds(credentials),
		grpc.MaxRecvMsgSize(encoder.MaxMessage),
		grpc.MaxSendMsgSize(encoder.MaxMessage),
	)
	return NewGuardedServer(failed, options...)
}

// NewGuardedServer returns a gRPC server with the keepalive parameters of NewServer. The caller passes
// credentials and message size limits in options. The panic of a handler ends only its call, with the code Internal.
func NewGuardedServer(failed Failed, options ...grpc.ServerOption) *grpc.Server {
	options = append(options,
		grpc.ChainUnaryInterceptor(failed.guardUnary),
		grpc.ChainStreamInterceptor(failed.guardStream),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 2 * time.Second}),
	)
	return grpc.NewServer(options...)
}
