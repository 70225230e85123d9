package main

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"golang.org/x/sync/errgroup"

	"oleandertally/core/authenticator"
	"oleandertally/core/configurator"
	"oleandertally/core/launcher"
	"oleandertally/core/operator"
	"oleandertally/core/specifier"
)

// site is a folder with the settings, certificates and keys of one controller, its operator and an entry.
type site struct {
	t      *testing.T
	folder string
	addr   netip.AddrPort
	key    *ecdsa.PrivateKey
	root   *x509.Certificate
}

func newSite(t *testing.T, host byte) *site {
	t.Helper()
	s := &site{t: t, folder: t.TempDir(), addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(os.Getpid()%200 + 20), 250, host}), 7000)}
	s.key = newKey(t)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &s.key.PublicKey, s.key)
	must.NoError(t, err)
	s.root, err = x509.ParseCertificate(der)
	must.NoError(t, err)
	s.write("authority.crt", "CERTIFICATE", der)
	s.issue("controller", "Controller/controller-1")
	s.issue("operator", "Operator/eva")
	s.issue("entry", "Entry/entry-1")
	s.text("eva.token", "secret")
	s.text("controller.yaml", fmt.Sprintf(`Name: controller-1
Zone: heredia
Rack: control
Addr: %s
MetricsAddr: %s:7003
DataFolder: data
Peers: [{Name: controller-1, Addr: "%s"}]
Security:
  Certificate: controller.crt
  Key: controller.key
  Authority: authority.crt
  Operators: [{Name: eva, Digests: [%s]}]
`, s.addr, s.addr.Addr(), s.addr, configurator.NewTokenDigest("secret")))
	return s
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	return key
}

func (s *site) issue(name, peer string) {
	s.t.Helper()
	key := newKey(s.t)
	uri, err := url.Parse("oleandertally://" + peer)
	must.NoError(s.t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		URIs: []*url.URL{uri}}
	der, err := x509.CreateCertificate(rand.Reader, template, s.root, &key.PublicKey, s.key)
	must.NoError(s.t, err)
	private, err := x509.MarshalECPrivateKey(key)
	must.NoError(s.t, err)
	s.write(name+".crt", "CERTIFICATE", der)
	s.write(name+".key", "EC PRIVATE KEY", private)
}

func (s *site) write(name, kind string, der []byte) {
	s.text(name, string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})))
}

func (s *site) text(name, text string) {
	s.t.Helper()
	must.NoError(s.t, os.WriteFile(s.path(name), []byte(text), 0o600))
}

func (s *site) path(name string) string { return filepath.Join(s.folder, name) }

// client returns an operator's client that uses the given certificate and token file.
func (s *site) client(role specifier.Role, certificate, name, token string) *operator.Client {
	s.t.Helper()
	settings := configurator.OperatorSettings{Name: name, TokenFile: s.path(token), Security: configurator.SecuritySettings{
		Certificate: s.path(certificate + ".crt"), Key: s.path(certificate + ".key"), Authority: s.path("authority.crt")}}
	security, err := authenticator.New(settings.Security, authenticator.Peer{Role: role, Name: name}, time.Now, func(error) {})
	must.NoError(s.t, err)
	sent, err := authenticator.NewOperatorToken(settings)
	must.NoError(s.t, err)
	return &operator.Client{Controllers: []netip.AddrPort{s.addr}, Credentials: security.ClientCredentials(specifier.Controller, ""), PerRPC: sent,
		AttemptTimeout: 2 * time.Second, MaxRounds: 1, Clock: time.Now}
}

// Guards against a controller that admits unauthorized clients, and one that does not stop on SIGTERM.
func TestProgram(t *testing.T) {
	s := newSite(t, 1)
	signals := make(chan os.Signal, 2)
	var log bytes.Buffer
	var group errgroup.Group
	group.Go(func() error {
		return run(context.Background(), []string{"-settings", s.path("controller.yaml"), "-bootstrap"}, signals, &log)
	})
	t.Run("operator", func(t *testing.T) {
		eva := s.client(authenticator.Operator, "operator", "eva", "eva.token")
		must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(func() error {
			_, err := eva.Read(context.Background(), 0)
			return err
		}), wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond)))
		command := specifier.ChangeConfiguration{RequestID: "r", Operator: "luis", Teams: []specifier.Team{{Name: "ventas", Share: 1}}}
		_, err := eva.Change(context.Background(), "r", "luis", command)
		must.ErrorContains(t, err, `the token is that of "eva"`)
		command.Operator = "eva"
		decision, err := eva.Change(context.Background(), "r", "eva", command)
		must.NoError(t, err)
		must.Eq(t, specifier.Applied, decision.Verdict)
	})
	t.Run("wrong token", func(t *testing.T) {
		s.text("wrong.token", "guess")
		_, err := s.client(authenticator.Operator, "operator", "eva", "wrong.token").Read(context.Background(), 0)
		must.ErrorContains(t, err, "does not admit")
	})
	t.Run("wrong role", func(t *testing.T) {
		_, err := s.client(specifier.Entry, "entry", "entry-1", "eva.token").Read(context.Background(), 0)
		must.ErrorContains(t, err, "does not admit")
	})
	signals <- syscall.SIGTERM
	must.NoError(t, group.Wait())
	must.StrContains(t, log.String(), `"Event":"ProcessStopped"`)
}

// Guards against a wrong exit code for unusable settings, after which a platform would restart the process forever or never.
func TestStartFailures(t *testing.T) {
	s := newSite(t, 2)
	for name, arguments := range map[string][]string{
		"no settings":     {},
		"no such file":    {"-settings", s.path("absent.yaml")},
		"not listed":      {"-settings", "../examples/settings/onehost.yaml", "-name", "controller-9"},
		"nobody to join":  {"-settings", s.path("controller.yaml")},
		"an extra word":   {"-settings", s.path("controller.yaml"), "x"},
		"not this role's": {"-settings", "../examples/settings/entry.yaml"},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, launcher.ExitSettings, launcher.ExitCode(run(context.Background(), arguments, nil, io.Discard)))
		})
	}
}
