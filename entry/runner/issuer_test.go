package runner

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/authenticator"
	"oleandertally/core/configurator"
)

// issuer is a certificate authority for tests.
type issuer struct {
	key  *ecdsa.PrivateKey
	root *x509.Certificate
}

func newIssuer(t *testing.T) *issuer {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	root := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	i := &issuer{key: key, root: root}
	i.root, err = x509.ParseCertificate(i.sign(t, root, key))
	must.NoError(t, err)
	return i
}

func (i *issuer) sign(t *testing.T, template *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, i.root, &key.PublicKey, i.key)
	must.NoError(t, err)
	return der
}

// security returns the authenticator of a peer, with a new certificate of the issuer.
func (i *issuer) security(t *testing.T, peer authenticator.Peer, teams ...configurator.TokenSettings) *authenticator.Authenticator {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotBefore: i.root.NotBefore, NotAfter: i.root.NotAfter,
		KeyUsage: x509.KeyUsageDigitalSignature, URIs: []*url.URL{peer.URI()},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	private, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	folder := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(folder, name)
		must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	security, err := authenticator.New(configurator.SecuritySettings{Teams: teams,
		Certificate: write("crt", "CERTIFICATE", i.sign(t, template, key)), Key: write("key", "EC PRIVATE KEY", private),
		Authority: write("ca", "CERTIFICATE", i.root.Raw)}, peer, time.Now, func(error) {})
	must.NoError(t, err)
	return security
}
