package authenticator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc/metadata"

	"oleandertally/core/configurator"
)

var tokenSettings = []configurator.TokenSettings{
	{Name: "a", Digests: []configurator.TokenDigest{configurator.NewTokenDigest("old"), configurator.NewTokenDigest("new")}},
	{Name: "b", Digests: []configurator.TokenDigest{configurator.NewTokenDigest("b-token")}},
}

func secured() *Authenticator {
	return &Authenticator{teams: NewTokens(tokenSettings), operators: NewTokens(tokenSettings)}
}

func TestTokens(t *testing.T) {
	// Guards against a caller that impersonates another team.
	cases := []struct {
		name, header, team string
		known, accepted    bool // whether CheckAnyTeam and CheckTeam accept the token
	}{
		{"first token", "Bearer old", "a", true, true},
		{"second token", "bearer new", "a", true, true},
		{"token of another", "Bearer b-token", "a", true, false},
		{"unknown token", "Bearer none", "a", false, false},
		{"unknown team", "Bearer old", "c", true, false},
		{"no token", "", "a", false, false},
		{"empty token", "Bearer ", "a", false, false},
		{"empty team", "Bearer ", "", false, false},
		{"other scheme", "Basic old", "a", false, false},
		{"long token", "Bearer " + strings.Repeat("x", maxToken+1), "a", false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodPost, "/v1/jobs", nil)
			request.Header.Set("Authorization", c.header)
			mustAuthorize(t, c.known, secured().CheckAnyTeam(request))
			mustAuthorize(t, c.accepted, secured().CheckTeam(request, c.team))
			mustAuthorize(t, true, (&Authenticator{insecure: true}).CheckTeam(request, c.team))
		})
	}
}

func TestUnusableTokens(t *testing.T) {
	// Guards against settings with the digest of an empty token, which would admit every request without a
	// token, and against tokens above the length limit.
	long := strings.Repeat("x", maxToken+1)
	tokens := NewTokens([]configurator.TokenSettings{{Name: "a", Digests: []configurator.TokenDigest{
		configurator.NewTokenDigest(""), configurator.NewTokenDigest(long)}}})
	for _, token := range []string{"", long} {
		mustAuthorize(t, false, tokens.Check("a", token))
		mustAuthorize(t, false, tokens.checkAny(token))
	}
}

func mustAuthorize(t *testing.T, accepted bool, err error) {
	t.Helper()
	if accepted {
		must.NoError(t, err)
	} else {
		must.ErrorIs(t, err, ErrUnauthorized)
	}
}

func TestOperator(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	must.NoError(t, os.WriteFile(file, []byte("old\n"), 0o600))
	settings := configurator.OperatorSettings{Name: "a", TokenFile: file}
	incoming := func(t *testing.T, s configurator.OperatorSettings) context.Context {
		token, err := NewOperatorToken(s)
		must.NoError(t, err)
		must.Eq(t, !s.Security.Insecure, token.RequireTransportSecurity())
		values, err := token.GetRequestMetadata(context.Background())
		must.NoError(t, err)
		return metadata.NewIncomingContext(context.Background(), metadata.New(values))
	}
	t.Run("accepted", func(t *testing.T) {
		name, err := secured().CheckOperator(incoming(t, settings))
		must.NoError(t, err)
		must.Eq(t, "a", name)
	})
	t.Run("other name", func(t *testing.T) {
		// Guards against an operator whose change is recorded under the name of another operator.
		other := settings
		other.Name = "b"
		_, err := secured().CheckOperator(incoming(t, other))
		mustAuthorize(t, false, err)
	})
	t.Run("no metadata", func(t *testing.T) {
		_, err := secured().CheckOperator(context.Background())
		mustAuthorize(t, false, err)
	})
	t.Run("insecure", func(t *testing.T) {
		plain := configurator.OperatorSettings{Name: "b", Security: configurator.SecuritySettings{Insecure: true}}
		name, err := (&Authenticator{insecure: true}).CheckOperator(incoming(t, plain))
		must.NoError(t, err)
		must.Eq(t, "b", name)
	})
	t.Run("empty file", func(t *testing.T) {
		must.NoError(t, os.Truncate(file, 0))
		_, err := NewOperatorToken(settings)
		must.ErrorContains(t, err, "has 0 bytes, expected 1 to 512")
	})
}

func TestPeerNames(t *testing.T) {
	// Guards against certificates with no name, several names or an ambiguous name.
	site := newAuthority(t)
	parse := func(t *testing.T, texts ...string) error {
		var uris []*url.URL
		for _, text := range texts {
			uri, err := url.Parse(text)
			must.NoError(t, err)
			uris = append(uris, uri)
		}
		_, err := New(site.issue(t, t.TempDir(), uris...), Peer{"Entry", "e"}, func() time.Time { return start }, nil)
		return err
	}
	for _, texts := range [][]string{{"oleandertally://Entry/e"}, {"oleandertally://entry/e"}, {"spiffe://x/y", "oleandertally://Entry/e"}} {
		t.Run(strings.Join(texts, " "), func(t *testing.T) { must.NoError(t, parse(t, texts...)) })
	}
	for _, texts := range [][]string{{}, {"oleandertally://Entry/e", "oleandertally://Agent/e"}, {"oleandertally://Entry/"},
		{"oleandertally://Entry/e/f"}, {"oleandertally://Other/e"}, {"oleandertally://Entry/E"}} {
		t.Run("not "+strings.Join(texts, " "), func(t *testing.T) { must.ErrorIs(t, parse(t, texts...), ErrWrongPeer) })
	}
}

func TestLimitBody(t *testing.T) {
	// Guards against an oversized body that is read before it is rejected.
	read := 0
	handler := LimitBody(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		read = len(data)
		if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	}), 4)
	serve := func(body io.Reader) int {
		read = 0
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/", body))
		return recorder.Code
	}
	must.Eq(t, http.StatusOK, serve(strings.NewReader("1234")))
	must.Eq(t, 4, read)
	must.Eq(t, http.StatusRequestEntityTooLarge, serve(strings.NewReader("12345")))
	must.Eq(t, 0, read)
	must.Eq(t, http.StatusRequestEntityTooLarge, serve(io.MultiReader(strings.NewReader("12345"))))
	must.Eq(t, 4, read)
}
