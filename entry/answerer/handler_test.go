package answerer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"oleandertally/core/looper"
	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

// counted is a body that counts the bytes read from it.
type counted struct {
	io.Reader
	bytes int
}

func (c *counted) Read(into []byte) (int, error) {
	n, err := c.Reader.Read(into)
	c.bytes += n
	return n, err
}

const submission = `{"Team":"web","Profile":"hold","TimeLeft":"1s","Tasks":[{"Id":"a","Payload":1}]}`

func newHandler() *Handler {
	return &Handler{Sink: looper.NewMailbox[coordinator.Event](1), Waiters: &Waiters{}, Clock: time.Now, MaxBody: 1 << 10,
		BodyTimeout: time.Minute, Requests: NewGate(1), Admit: func(*http.Request) error { return nil },
		Authorize: func(*http.Request, string) error { return nil }, Refused: func(specifier.Answer) {}}
}

// mustRefuse checks the answer to a submission that must not reach the coordinator, that the refusal is counted, and
// how many bytes of the body were read.
func mustRefuse(t *testing.T, h *Handler, body string, status int, reason specifier.Reason, read int) {
	t.Helper()
	var counts []specifier.Reason
	h.Refused = func(answer specifier.Answer) { counts = append(counts, answer.Reason) }
	reader := &counted{Reader: strings.NewReader(body)}
	request := httptest.NewRequest(http.MethodPost, "/v1/jobs", reader)
	request.Header.Set("Idempotency-Key", "key")
	recorder := httptest.NewRecorder()
	h.Routes().ServeHTTP(recorder, request)
	must.Eq(t, status, recorder.Code)
	must.StrContains(t, recorder.Body.String(), `"Reason":"`+string(reason)+`"`)
	must.Eq(t, []specifier.Reason{reason}, counts)
	must.Eq(t, read, reader.bytes)
}

// TestRefusalsBeforeTheCoordinator guards against unauthorized callers, too many requests or a long body filling the
// entry's memory, and against a limit in the settings that has no effect.
func TestRefusalsBeforeTheCoordinator(t *testing.T) {
	t.Run("no token", func(t *testing.T) {
		h := newHandler()
		h.Admit = func(*http.Request) error { return errors.New("no token") }
		mustRefuse(t, h, submission, http.StatusUnauthorized, specifier.Unauthorized, 0)
	})
	t.Run("token of another team", func(t *testing.T) {
		h := newHandler()
		h.Authorize = func(_ *http.Request, team string) error { return errors.New(team) }
		mustRefuse(t, h, submission, http.StatusUnauthorized, specifier.Unauthorized, len(submission))
	})
	t.Run("too many requests", func(t *testing.T) {
		h := newHandler()
		must.True(t, h.Requests.Enter())
		mustRefuse(t, h, submission, http.StatusServiceUnavailable, specifier.Overloaded, 0)
		h.Requests.Leave()
		must.True(t, h.Requests.Enter())
	})
	t.Run("body too long", func(t *testing.T) {
		h := newHandler()
		h.MaxBody = int64(len(submission)) - 1
		mustRefuse(t, h, submission, http.StatusBadRequest, specifier.Invalid, len(submission))
	})
}
