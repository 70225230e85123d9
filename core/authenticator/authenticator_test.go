package authenticator

import (
	"context"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"oleandertally/core/configurator"
	"oleandertally/core/specifier"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const checkMethod = "/grpc.health.v1.Health/Check"

// call starts a gRPC server that enforces guard, connects client to it, and makes one call with a message
// of size bytes.
func call(t *testing.T, server, client *Authenticator, guard Guard, role specifier.Role, name string, size int) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := grpc.NewServer(server.ServerOptions(guard, configurator.Kibibyte)...)
	grpc_health_v1.RegisterHealthServer(s, health.NewServer())
	var group errgroup.Group
	group.Go(func() error { return s.Serve(listener) })
	connection, err := grpc.NewClient(listener.Addr().String(), client.DialOptions(role, name, configurator.Mebibyte)...)
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err = grpc_health_v1.NewHealthClient(connection).Check(ctx, &grpc_health_v1.HealthCheckRequest{Service: string(make([]byte, size))})
	must.NoError(t, connection.Close())
	s.Stop()
	must.NoError(t, group.Wait())
	return err
}

func mustAdmit(t *testing.T, server, client *process, roles ...specifier.Role) {
	t.Helper()
	must.NoError(t, callAs(t, server, client, roles...))
}

func mustRefuse(t *testing.T, err error, code codes.Code, text string) {
	t.Helper()
	must.Eq(t, code, status.Code(err), must.Sprintf("%v", err))
	must.ErrorContains(t, err, text)
}

func callAs(t *testing.T, server, client *process, roles ...specifier.Role) error {
	t.Helper()
	return call(t, server.Authenticator, client.Authenticator, Guard{checkMethod: roles}, specifier.Controller, "controller-1", 0)
}

func TestMutualTLS(t *testing.T) {
	site := newAuthority(t)
	controller := newProcess(t, site, specifier.Controller, "controller-1")
	entry := newProcess(t, site, specifier.Entry, "entry-1")
	agent := newProcess(t, site, specifier.Agent, "agent-1")
	guard := Guard{checkMethod: {specifier.Entry}}

	t.Run("accepted role", func(t *testing.T) {
		mustAdmit(t, controller, entry, specifier.Entry, specifier.Agent)
	})
	t.Run("wrong role of the client", func(t *testing.T) {
		// Guards against an agent that impersonates an entry.
		mustRefuse(t, callAs(t, controller, agent, specifier.Entry), codes.Unavailable, "")
	})
	t.Run("wrong method for the role", func(t *testing.T) {
		other := Guard{checkMethod: {specifier.Entry}, "/other": {specifier.Agent}}
		err := call(t, controller.Authenticator, agent.Authenticator, other, specifier.Controller, "", 0)
		mustRefuse(t, err, codes.PermissionDenied, "Agent/agent-1: the peer may not do this")
	})
	t.Run("method that is not listed", func(t *testing.T) {
		// Guards against a new method that every peer may call because the guard does not list it.
		err := call(t, controller.Authenticator, entry.Authenticator, Guard{"/other": {specifier.Entry}}, specifier.Controller, "", 0)
		mustRefuse(t, err, codes.PermissionDenied, "nobody may call this method")
	})
	t.Run("wrong role of the server", func(t *testing.T) {
		// Guards against a client that accepts an answer from a server with another role.
		err := call(t, controller.Authenticator, entry.Authenticator, guard, specifier.Agent, "", 0)
		mustRefuse(t, err, codes.Unavailable, "Controller/controller-1: the peer may not do this")
	})
	t.Run("wrong name of the server", func(t *testing.T) {
		// Guards against a controller that answers at the address of another one.
		err := call(t, controller.Authenticator, entry.Authenticator, guard, specifier.Controller, "controller-2", 0)
		mustRefuse(t, err, codes.Unavailable, "Controller/controller-1: the peer may not do this")
	})
	t.Run("other authority", func(t *testing.T) {
		stranger := newProcess(t, newAuthority(t), specifier.Entry, "entry-1")
		mustRefuse(t, callAs(t, controller, stranger, specifier.Entry), codes.Unavailable, "certificate of the peer")
	})
	t.Run("certificate for servers only", func(t *testing.T) {
		// Guards against a certificate that is used for a purpose that its authority did not permit.
		narrow := *site
		narrow.usages = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
		server := newProcess(t, &narrow, specifier.Controller, "controller-1")
		mustAdmit(t, server, entry, specifier.Entry)
		mustRefuse(t, callAs(t, controller, newProcess(t, &narrow, specifier.Entry, "entry-1"), specifier.Entry), codes.Unavailable, "")
	})
	t.Run("no TLS", func(t *testing.T) {
		plain, err := New(configurator.SecuritySettings{Insecure: true}, Peer{}, time.Now, nil)
		must.NoError(t, err)
		mustRefuse(t, call(t, controller.Authenticator, plain, guard, specifier.Controller, "", 0), codes.Unavailable, "")
		must.NoError(t, call(t, plain, plain, guard, specifier.Controller, "", 0))
	})
	t.Run("expired certificate", func(t *testing.T) {
		late := newProcess(t, site, specifier.Controller, "controller-1")
		late.now = late.NotAfter().Add(time.Second)
		mustRefuse(t, callAs(t, late, entry, specifier.Entry), codes.Unavailable, "")
		late.now = late.NotAfter()
		mustAdmit(t, late, entry, specifier.Entry)
	})
	t.Run("long message", func(t *testing.T) {
		err := call(t, controller.Authenticator, entry.Authenticator, guard, specifier.Controller, "", 2<<10)
		mustRefuse(t, err, codes.ResourceExhausted, "larger than max")
	})
}

func TestReload(t *testing.T) {
	site, next := newAuthority(t), newAuthority(t)
	self := Peer{specifier.Controller, "controller-1"}
	entry := newProcess(t, next, specifier.Entry, "entry-1")

	t.Run("replaced files", func(t *testing.T) {
		// Guards against a process that loads a new certificate only after a restart, and against one that reads
		// its files at every handshake.
		controller := newProcess(t, site, self.Role, self.Name)
		mustRefuse(t, callAs(t, controller, entry, specifier.Entry), codes.Unavailable, "")
		next.issue(t, filepath.Dir(controller.settings.Key), self.URI())
		controller.now = start.Add(reloadInterval - 1)
		mustRefuse(t, callAs(t, controller, entry, specifier.Entry), codes.Unavailable, "")
		controller.now = start.Add(reloadInterval)
		mustAdmit(t, controller, entry, specifier.Entry)
		must.SliceEmpty(t, controller.reports)
	})
	broken := []struct {
		name, expected string
		change         func(t *testing.T, s configurator.SecuritySettings)
	}{
		{"certificate without its key", "private key does not match", func(t *testing.T, s configurator.SecuritySettings) {
			other := site.issue(t, t.TempDir(), self.URI())
			must.NoError(t, os.Rename(other.Certificate, s.Certificate))
		}},
		{"missing file", "no such file", func(t *testing.T, s configurator.SecuritySettings) {
			must.NoError(t, os.Remove(s.Authority))
		}},
		{"empty authority", "no PEM certificate found", func(t *testing.T, s configurator.SecuritySettings) {
			must.NoError(t, os.Truncate(s.Authority, 0))
		}},
		{"certificate of another process", "names Agent/agent-1, expected Controller/controller-1", func(t *testing.T, s configurator.SecuritySettings) {
			site.issue(t, filepath.Dir(s.Key), Peer{specifier.Agent, "agent-1"}.URI())
		}},
		{"long file", "longer than 1048576 bytes", func(t *testing.T, s configurator.SecuritySettings) {
			must.NoError(t, os.Truncate(s.Key, maxPEM+1))
		}},
	}
	for _, b := range broken {
		t.Run(b.name, func(t *testing.T) {
			// Guards against a running process that rejects all peers because its files are only partly replaced.
			controller := newProcess(t, site, self.Role, self.Name)
			friend := newProcess(t, site, specifier.Entry, "entry-1")
			b.change(t, controller.settings)
			controller.now = start.Add(time.Minute)
			mustAdmit(t, controller, friend, specifier.Entry)
			must.Len(t, 1, controller.reports)
			must.ErrorContains(t, controller.reports[0], b.expected)
		})
		t.Run("start with "+b.name, func(t *testing.T) {
			settings := site.issue(t, t.TempDir(), self.URI())
			b.change(t, settings)
			_, err := New(settings, self, func() time.Time { return start }, nil)
			must.ErrorContains(t, err, b.expected)
		})
	}
}
