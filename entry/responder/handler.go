package responder

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

// cancelBound is how long a cancellation waits for its answer.
const cancelBound = 5 * time.Second

// Handler serves callers. Fields are set before use.
type Handler struct {
	Sink    *looper.Mailbox[coordinator.Event]
	Waiters *Waiters
	Clock   func() time.Time
	// Admit returns an error for a stranger, by the headers alone.
	Admit func(request *http.Request) error
	// Authorize returns an error unless the request may act for team.
	Authorize   func(request *http.Request, team string) error
	MaxBody     int64                         // of a submission, in bytes
	BodyTimeout time.Duration                 // for a caller to send a whole request
	Requests    *Gate                         // bounds the requests that are open at once
	Refused     func(answer specifier.Answer) // told of each submission that the coordinator never saw
}

// Routes returns the handler of the resource /v1/jobs.
func (h *Handler) Routes() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("POST /v1/jobs", h.bounded(h.submit))
	routes.HandleFunc("DELETE /v1/jobs/{key}", h.bounded(h.cancel))
	return routes
}

// bounded checks what can be checked before the body is read.
func (h *Handler) bounded(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := h.Admit(r); err != nil {
			// The body is not read, so the connection can't be used again.
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

// read decodes the body within BodyTimeout. The time for reading is not limited after that, or the
// connection would break while the job runs.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (specifier.Job, *specifier.Problems) {
	control := http.NewResponseController(w)
	// A connection that can't be limited, as in a test without a network, sends its body at once.
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

// cancel is idempotent. Its answer is the job's: NotRun when it had not started.
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
	ctx, cancel := context.WithTimeout(r.Context(), cancelBound)
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
	// The caller is gone when this fails, and resubmits under its key.
	_ = encoder.Encode(newResponse(answer))
}
