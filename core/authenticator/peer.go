package authenticator

import (
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"oleandertally/core/specifier"
)

// Operator is the role of the command-line tool for operators in a certificate.
const Operator specifier.Role = "Operator"

const scheme = "oleandertally"

var roles = []specifier.Role{specifier.Entry, specifier.Agent, specifier.Controller, Operator}

// Peer is the role and name of a process, as its certificate states them.
type Peer struct {
	Role specifier.Role
	Name string
}

// String returns the peer as ROLE/NAME.
func (p Peer) String() string { return string(p.Role) + "/" + p.Name }

// URI returns the subject alternative name of p for a certificate.
func (p Peer) URI() *url.URL {
	return &url.URL{Scheme: scheme, Host: string(p.Role), Path: "/" + p.Name}
}

// PeerFromCertificate returns the peer that certificate names. The error is ErrWrongPeer unless the
// certificate has exactly one such name.
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
		if strings.EqualFold(uri.Host, string(role)) { // some tools convert hosts to lower case
			return Peer{role, name}, nil
		}
	}
	return Peer{}, errors.Wrapf(ErrWrongPeer, "the certificate has an unknown role")
}
