package answerer

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"oleandertally/core/looper"
	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

// cancelTimeout is how long a cancellation waits for an answer.
const cancelTimeout = 5 * time.Second

// Handler serves callers. Fields are set before use.
type Handler struct {
	Sink    *looper.Mailbox[coordinator.Event]
	Waiters *Waiters
	Clock   func() time.Time
	// Admit returns an error if the headers of the request carry no token of any team.
	Admit func(request *http.Request) error
	// Authorize returns an error unless the request may act for team.
	Authorize   func(request *http.Request, team string) error
	MaxBody     int64                         // maximum size of a submission in bytes
	BodyTimeout time.Duration                 // how long a caller may take to send the body
	Requests    *Gate                         // limits concurrent requests
	Refused     func(answer specifier.Answer) // called for each submission that is refused before the coordinator sees it
}

// Routes returns the handler of the resource /v1/jobs.
func (h *Handler) Routes() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("POST /v1/jobs", h.admitted(h.submit))
	routes.HandleFunc("DELETE /v1/jobs/{key}", h.admitted(h.cancel))
	return routes
}

// admitted wraps a handler with the checks that come before the body is read: the token and the number of open requests.
func (h *Handler) admitted(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := h.Admit(r); err != nil {
			// The body is not read, so the connection can't be reused.
			w.Header().Set("Connection", "close")
			h.refuse(w, specifier.Refuse(specifier.Unauthorized, "the request carries no token of any team"))
			return
		}
		if !h.Requests.Enter() {
			w.Header().Set("Connection", "close")
			h.refuse(w, specifier.Fail(specifier.Overloaded,
				"this entry has too many requests open to look the key up; an earlier submission under it may have run", true))
			return
		}
		defer h.Requests.Leave()
		next(w, r)
	}
}

func (h *Handler) refuse(w http.ResponseWriter, answer specifier.Answer) {
	h.Refused(answer)
	write(w, answer)
}

// read reads and decodes the body within BodyTimeout. It then removes the read deadline, which would otherwise break
// the connection while the job runs.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (specifier.Job, *specifier.Problems) {
	control := http.NewResponseController(w)
	// A connection without read deadlines, as in a test without a network, has the complete body immediately.
	_ = control.SetReadDeadline(h.Clock().Add(h.BodyTimeout))
	job, problems := decodeSubmission(http.MaxBytesReader(w, r.Body, h.MaxBody), r.Header.Get("Idempotency-Key"), h.Clock())
	_ = control.SetReadDeadline(time.Time{})
	return job, problems
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	job, problems := h.read(w, r)
	if problems != nil {
		h.refuse(w, specifier.Refuse(specifier.Invalid, problems.Error()))
		return
	}
	if err := h.Authorize(r, job.Team); err != nil {
		h.refuse(w, specifier.Refuse(specifier.Unauthorized, "the token does not belong to the team"))
		return
	}
	waiter, reply := h.Waiters.Open()
	defer h.Waiters.Close(waiter)
	if err := h.Sink.Send(r.Context(), coordinator.Submitted{Waiter: waiter, Job: job}); err != nil {
		write(w, specifier.Fail(specifier.Unavailable, "the request was cut off before it was looked up", true))
		return
	}
	h.wait(w, r.Context(), waiter, job.ID, reply)
}

// cancel cancels a job and is idempotent. It answers with the job's own answer, which is NotRun if the job had not started.
func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	key, team := r.PathValue("key"), r.URL.Query().Get("Team")
	problems := &specifier.Problems{}
	problems.Name("Key", key)
	problems.Name("Team", team)
	if problems = problems.OrNil(); problems != nil {
		write(w, specifier.Refuse(specifier.Invalid, problems.Error()))
		return
	}
	if err := h.Authorize(r, team); err != nil {
		write(w, specifier.Refuse(specifier.Unauthorized, "the token does not belong to the team"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), cancelTimeout)
	defer cancel()
	waiter, reply := h.Waiters.Open()
	defer h.Waiters.Close(waiter)
	id := specifier.NewJobID(team, key)
	if err := h.Sink.Send(ctx, coordinator.CancelRequested{Waiter: waiter, Job: id}); err != nil {
		write(w, specifier.Fail(specifier.Unavailable, "the cancellation was cut off; cancel again", true))
		return
	}
	h.wait(w, ctx, waiter, id, reply)
}

func (h *Handler) wait(w http.ResponseWriter, ctx context.Context, waiter coordinator.Waiter, job specifier.JobID, reply <-chan coordinator.Reply) {
	select {
	case reply := <-reply:
		write(w, reply.Answer)
	case <-ctx.Done():
		sendCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = h.Sink.Send(sendCtx, coordinator.Abandoned{Waiter: waiter, Job: job})
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			write(w, specifier.Fail(specifier.Unavailable, "nobody answered in time; ask again", true))
		}
	}
}

func write(w http.ResponseWriter, answer specifier.Answer) {
	w.Header().Set("Content-Type", "application/json")
	if answer.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(answer.RetryAfter.Seconds()))))
	}
	w.WriteHeader(statusOf(answer))
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	// If this fails, the connection broke, and the caller resubmits under the same key.
	_ = encoder.Encode(newResponse(answer))
}
