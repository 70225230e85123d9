package authenticator

import "github.com/cockroachdb/errors"

// The errors of failed checks.
var (
	ErrUnauthorized  = errors.New("unknown name or wrong token")
	ErrNoCertificate = errors.New("the peer sent no certificate")
	ErrWrongPeer     = errors.New("the peer may not do this")
)
