package authenticator

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"

	"oleandertally/core/specifier"
)

// PeerFromContext returns the peer whose connection carries the gRPC call of ctx.
func PeerFromContext(ctx context.Context) (Peer, error) {
	from, ok := peer.FromContext(ctx)
	if !ok {
		return Peer{}, ErrNoCertificate
	}
	info, ok := from.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return Peer{}, ErrNoCertificate
	}
	return PeerFromCertificate(info.State.PeerCertificates[0])
}

// CheckRole returns ErrWrongPeer unless the peer of the call has one of the roles.
func (a *Authenticator) CheckRole(ctx context.Context, accepted ...specifier.Role) error {
	return a.check(ctx, func(found Peer) bool { return slices.Contains(accepted, found.Role) })
}

// CheckPeer returns ErrWrongPeer unless the peer of the call is expected, which its message claims to be.
func (a *Authenticator) CheckPeer(ctx context.Context, expected Peer) error {
	return a.check(ctx, func(found Peer) bool { return found == expected })
}

func (a *Authenticator) check(ctx context.Context, accepts func(Peer) bool) error {
	if a.insecure {
		return nil
	}
	found, err := PeerFromContext(ctx)
	if err != nil {
		return err
	}
	if !accepts(found) {
		return errors.Wrapf(ErrWrongPeer, "%s", found)
	}
	return nil
}
