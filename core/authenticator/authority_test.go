package authenticator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/configurator"
	"oleandertally/core/specifier"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// authority is a certificate authority for tests.
type authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	usages      []x509.ExtKeyUsage // extended key usages of the issued certificates
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: start.Add(-time.Hour), NotAfter: start.Add(1000 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	a := &authority{key, template, []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	a.certificate, err = x509.ParseCertificate(a.sign(t, template, &key.PublicKey))
	must.NoError(t, err)
	return a
}

func (a *authority) sign(t *testing.T, template *x509.Certificate, key *ecdsa.PublicKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key, a.key)
	must.NoError(t, err)
	return der
}

// issue writes to folder a certificate with the given URI names, which expires an hour after start, its key
// and the certificate of the authority.
func (a *authority) issue(t *testing.T, folder string, uris ...*url.URL) configurator.SecuritySettings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotBefore: start.Add(-time.Hour), NotAfter: start.Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: a.usages, URIs: uris}
	private, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	settings := configurator.SecuritySettings{Certificate: filepath.Join(folder, "process.crt"),
		Key: filepath.Join(folder, "process.key"), Authority: filepath.Join(folder, "authority.crt")}
	write(t, settings.Certificate, "CERTIFICATE", a.sign(t, template, &key.PublicKey))
	write(t, settings.Key, "EC PRIVATE KEY", private)
	write(t, settings.Authority, "CERTIFICATE", a.certificate.Raw)
	return settings
}

func write(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// process is an authenticator whose clock and files a test can change. It records the reported errors.
type process struct {
	*Authenticator
	settings configurator.SecuritySettings
	now      time.Time
	reports  []error
}

func newProcess(t *testing.T, a *authority, role specifier.Role, name string) *process {
	t.Helper()
	peer := Peer{role, name}
	p := &process{settings: a.issue(t, t.TempDir(), peer.URI()), now: start}
	var err error
	p.Authenticator, err = New(p.settings, peer, func() time.Time { return p.now }, func(err error) { p.reports = append(p.reports, err) })
	must.NoError(t, err)
	return p
}
