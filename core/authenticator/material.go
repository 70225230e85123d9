package authenticator

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"oleandertally/core/configurator"
)

// maxPEM is the size limit of a certificate, key or token file in bytes.
const maxPEM = 1 << 20

// material is the raw and parsed content of the certificate, key and authority files, read together.
type material struct {
	raw         [3][]byte // certificate, key, authority
	certificate tls.Certificate
	authority   *x509.CertPool
	self        Peer
}

// readFiles returns the content of the certificate, key and authority files.
func readFiles(settings configurator.SecuritySettings) (raw [3][]byte, err error) {
	for i, path := range []string{settings.Certificate, settings.Key, settings.Authority} {
		if raw[i], err = readBounded(path); err != nil {
			return raw, err
		}
	}
	return raw, nil
}

func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open")
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxPEM+1))
	if err == nil && len(data) > maxPEM {
		err = errors.Newf("longer than %d bytes", maxPEM)
	}
	return data, errors.Wrapf(err, "read %s", path)
}

func newMaterial(settings configurator.SecuritySettings, raw [3][]byte) (*material, error) {
	certificate, err := tls.X509KeyPair(raw[0], raw[1])
	if err != nil {
		return nil, errors.Wrapf(err, "%s and %s", settings.Certificate, settings.Key)
	}
	self, err := PeerFromCertificate(certificate.Leaf)
	if err != nil {
		return nil, errors.Wrap(err, settings.Certificate)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(raw[2]) {
		return nil, errors.Newf("%s: no PEM certificate found", settings.Authority)
	}
	return &material{raw, certificate, authority, self}, nil
}

// matches reports whether m was parsed from raw.
func (m *material) matches(raw [3][]byte) bool {
	for i := range raw {
		if !bytes.Equal(m.raw[i], raw[i]) {
			return false
		}
	}
	return true
}
