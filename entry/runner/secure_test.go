package runner

import (
	"context"
	"crypto/tls"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"oleandertally/core/authenticator"
	"oleandertally/core/configurator"
	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/specifier"
)

// startSecure runs an entry with certificates and the tokens of two teams until the test ends.
func startSecure(t *testing.T, site *issuer) *Entry {
	t.Helper()
	entry := newEntry(t)
	entry.Security = site.security(t, authenticator.Peer{Role: specifier.Entry, Name: "entry-1"},
		configurator.TokenSettings{Name: "web", Digests: []configurator.TokenDigest{configurator.NewTokenDigest("web-token")}},
		configurator.TokenSettings{Name: "shop", Digests: []configurator.TokenDigest{configurator.NewTokenDigest("shop-token")}})
	must.NoError(t, entry.Open())
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return entry.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		must.ErrorIs(t, group.Wait(), context.Canceled)
	})
	return entry
}

// TestCallersNeedTokens guards against an entry that accepts jobs without TLS, without a valid token, or with the token
// of another team.
func TestCallersNeedTokens(t *testing.T) {
	entry := startSecure(t, newIssuer(t))
	// A caller verifies the entry by its address, for which the test has no certificate.
	transport := &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	post := func(scheme, token, body string) int {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, scheme+"://"+entry.Settings.HTTPAddr.String()+"/v1/jobs", strings.NewReader(body))
		must.NoError(t, err)
		request.Header.Set("Idempotency-Key", "key")
		request.Header.Set("Authorization", "Bearer "+token)
		response, err := (&http.Client{Transport: transport}).Do(request)
		if err != nil {
			return 0
		}
		must.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	const job = `{"Team":"web","Profile":"hold","TimeLeft":"1s","Tasks":[{"Id":"a","Payload":1}]}`
	must.Eq(t, http.StatusUnauthorized, post("https", "other", job))
	must.Eq(t, http.StatusUnauthorized, post("https", "shop-token", job))
	must.Eq(t, http.StatusBadRequest, post("https", "web-token", "{}"))
	must.Eq(t, http.StatusBadRequest, post("http", "web-token", job), must.Sprint("expected the TLS layer's own answer"))
}

// TestMethodsAreGuardedByRole guards against a method that accepts calls from a role without permission.
func TestMethodsAreGuardedByRole(t *testing.T) {
	site := newIssuer(t)
	entry := startSecure(t, site)
	call := func(role specifier.Role, method func(context.Context, *dialer.Pool) error) codes.Code {
		client := site.security(t, authenticator.Peer{Role: role, Name: "peer"})
		pool := &dialer.Pool{Credentials: client.ClientCredentials(specifier.Entry, "")}
		defer pool.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		return status.Code(method(ctx, pool))
	}
	gather := func(ctx context.Context, pool *dialer.Pool) error {
		conn, err := pool.Conn(entry.Settings.PeerAddr)
		must.NoError(t, err)
		_, err = encoder.NewTimelineClient(conn).Gather(ctx, &encoder.EventsRequest{})
		return err
	}
	await := func(ctx context.Context, pool *dialer.Pool) error {
		conn, err := pool.Conn(entry.Settings.PeerAddr)
		must.NoError(t, err)
		_, err = encoder.NewPeerClient(conn).Await(ctx, &encoder.AwaitRequest{Job: make([]byte, len(specifier.JobID{})), Digest: make([]byte, len(specifier.Digest{}))})
		return err
	}
	must.Eq(t, codes.OK, call(authenticator.Operator, gather))
	must.Eq(t, codes.PermissionDenied, call(specifier.Entry, gather))
	must.Eq(t, codes.OK, call(specifier.Entry, await))
	must.Eq(t, codes.PermissionDenied, call(authenticator.Operator, await))
	must.Eq(t, codes.Unavailable, call(specifier.Agent, await), must.Sprint("the handshake refuses a role that may call nothing"))
}
