package authenticator

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"oleandertally/core/configurator"
	"oleandertally/core/specifier"
)

// Authenticator authenticates peers, teams and operators for one process. It is safe for concurrent use.
type Authenticator struct {
	insecure     bool
	certificates certificates
	teams        Tokens
	operators    Tokens
}

// New returns the authenticator of the process self. It calls report, which must not block, with the errors
// of later reloads of the certificates. The error of New names the file that cannot be used.
func New(settings configurator.SecuritySettings, self Peer, clock func() time.Time, report func(error)) (*Authenticator, error) {
	a := &Authenticator{
		insecure:     settings.Insecure,
		certificates: certificates{settings: settings, self: self, clock: clock, report: report},
		teams:        NewTokens(settings.Teams),
		operators:    NewTokens(settings.Operators),
	}
	if a.insecure {
		return a, nil
	}
	if err := a.certificates.load(); err != nil {
		return nil, errors.Wrap(err, "security")
	}
	return a, nil
}

// NotAfter returns when the certificate of this process expires, or the zero time if Insecure.
func (a *Authenticator) NotAfter() time.Time {
	if a.insecure {
		return time.Time{}
	}
	return a.certificates.latest().certificate.Leaf.NotAfter
}

// ServerCredentials returns credentials of a server that accepts clients with one of the roles.
func (a *Authenticator) ServerCredentials(accepted ...specifier.Role) credentials.TransportCredentials {
	if a.insecure {
		return insecure.NewCredentials()
	}
	config := a.peerTLS(x509.ExtKeyUsageClientAuth, func(peer Peer) bool { return slices.Contains(accepted, peer.Role) })
	config.ClientAuth = tls.RequireAnyClientCert // VerifyConnection verifies the certificate
	return credentials.NewTLS(config)
}

// ClientCredentials returns credentials of a client that accepts a server with the role and, unless name
// is empty, with that name.
func (a *Authenticator) ClientCredentials(role specifier.Role, name string) credentials.TransportCredentials {
	if a.insecure {
		return insecure.NewCredentials()
	}
	config := a.peerTLS(x509.ExtKeyUsageServerAuth, func(peer Peer) bool {
		return peer.Role == role && (name == "" || peer.Name == name)
	})
	// Turns off the check of the host name, which is an IP address here. VerifyConnection checks the chain,
	// the role and the name instead.
	config.InsecureSkipVerify = true
	return credentials.NewTLS(config)
}

// CallerTLS returns the TLS configuration of the entry's HTTP server, or nil if Insecure. Callers
// authenticate with tokens instead of client certificates.
func (a *Authenticator) CallerTLS() *tls.Config {
	if a.insecure {
		return nil
	}
	config := a.baseTLS()
	config.NextProtos = []string{"h2", "http/1.1"}
	return config
}

// baseTLS returns a configuration that presents the current certificate of this process.
func (a *Authenticator) baseTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       a.certificates.clock,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &a.certificates.latest().certificate, nil
		},
	}
}

// peerTLS returns a configuration for mutual TLS, which verifies each connection against the authority that
// is loaded at that time.
func (a *Authenticator) peerTLS(usage x509.ExtKeyUsage, accepts func(Peer) bool) *tls.Config {
	config := a.baseTLS()
	config.SessionTicketsDisabled = true // connections are few and long-lived, so resumption saves little
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &a.certificates.latest().certificate, nil
	}
	config.VerifyConnection = func(state tls.ConnectionState) error {
		return a.verify(state, usage, accepts)
	}
	return config
}

// verify checks the certificate chain of the peer, and that accepts returns true for the peer.
func (a *Authenticator) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, accepts func(Peer) bool) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	leaf := state.PeerCertificates[0]
	options := x509.VerifyOptions{
		Roots:         a.certificates.latest().authority,
		Intermediates: x509.NewCertPool(),
		CurrentTime:   a.certificates.clock(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	}
	for _, other := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(other)
	}
	if _, err := leaf.Verify(options); err != nil {
		return errors.Wrap(err, "certificate of the peer")
	}
	peer, err := PeerFromCertificate(leaf)
	if err != nil {
		return err
	}
	if !accepts(peer) {
		return errors.Wrapf(ErrWrongPeer, "%s", peer)
	}
	return nil
}
