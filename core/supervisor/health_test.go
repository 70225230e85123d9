package supervisor

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

func mustAnswer(t *testing.T, h *Health, path string, status int, body string) {
	t.Helper()
	mux := http.NewServeMux()
	h.Register(mux)
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	must.Eq(t, status, recorder.Code)
	must.EqJSON(t, body, recorder.Body.String())
}

func TestReady(t *testing.T) {
	// Guards against a process that reports ready, and receives work, while a condition is not met or
	// during its shutdown.
	h := NewHealth("Leader", "Profiles")
	h.SetMet("Profiles")
	mustAnswer(t, h, "/readyz", 503, `{"Ready":false,"Unmet":["Leader: starting"]}`)
	h.SetMet("Leader")
	mustAnswer(t, h, "/readyz", 200, `{"Ready":true,"Unmet":[]}`)
	h.SetUnmet("Leader", "no majority")
	mustAnswer(t, h, "/readyz", 503, `{"Ready":false,"Unmet":["Leader: no majority"]}`)
	h.SetMet("Leader")
	h.Stop()
	mustAnswer(t, h, "/readyz", 503, `{"Ready":false,"Unmet":["shutting down"]}`)
}

func TestLive(t *testing.T) {
	// Guards against a platform that kills a draining process, or keeps one whose probe fails.
	h := NewHealth("Leader")
	h.Stop()
	mustAnswer(t, h, "/livez", 200, `{"Live":true}`)
	h.Probe = func(ctx context.Context) error {
		_, bounded := ctx.Deadline()
		must.True(t, bounded)
		return errBroken
	}
	mustAnswer(t, h, "/livez", 503, `{"Live":false}`)
}
