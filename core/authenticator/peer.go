package authenticator

import (
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"oleandertally/core/specifier"
)

// Operator is the role of the operators' command line in a certificate.
const Operator specifier.Role = "Operator"

const scheme = "oleandertally"

var roles = []specifier.Role{specifier.Entry, specifier.Agent, specifier.Controller, Operator}

// Peer is who a certificate names.
type Peer struct {
	Role specifier.Role
	Name string
}

// String returns the peer as ROLE/NAME.
func (p Peer) String() string { return string(p.Role) + "/" + p.Name }

// URI returns the subject alternative name of p.
func (p Peer) URI() *url.URL {
	return &url.URL{Scheme: scheme, Host: string(p.Role), Path: "/" + p.Name}
}

// PeerFromCertificate returns the peer that certificate names. A certificate with no such name, or with two,
// is refused.
func PeerFromCertificate(certificate *x509.Certificate) (Peer, error) {
	var found []Peer
	for _, uri := range certificate.URIs {
		if uri.Scheme != scheme {
			continue
		}
		peer, err := parsePeer(uri)
		if err != nil {
			return Peer{}, err
		}
		found = append(found, peer)
	}
	if len(found) != 1 {
		return Peer{}, errors.Wrapf(ErrWrongPeer, "the certificate has %d names %s://ROLE/NAME, expected 1", len(found), scheme)
	}
	return found[0], nil
}

func parsePeer(uri *url.URL) (Peer, error) {
	name := strings.TrimPrefix(uri.Path, "/")
	if name == "" || strings.Contains(name, "/") || len(name) > specifier.MaxName {
		return Peer{}, errors.Wrapf(ErrWrongPeer, "the certificate has a malformed name")
	}
	for _, role := range roles {
		if strings.EqualFold(uri.Host, string(role)) { // tools write hosts in lower case
			return Peer{role, name}, nil
		}
	}
	return Peer{}, errors.Wrapf(ErrWrongPeer, "the certificate has an unknown role")
}
