package supervisor

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// probeTimeout is shorter than 1 s, the usual timeout of a platform's liveness probe, so that the
// platform still receives the answer.
const probeTimeout = 800 * time.Millisecond

// Health tracks whether a process is ready for work and whether it is alive, and serves both over HTTP.
// It is safe for concurrent use.
type Health struct {
	// Probe checks liveness, for example by passing an event through the control goroutine. If it is
	// nil, a process that answers the request counts as alive. It must be set before use.
	Probe func(ctx context.Context) error

	mutex   sync.Mutex
	unmet   map[string]string // reasons by name of the condition
	stopped bool
}

// NewHealth returns a Health that is not ready until every condition has been met.
func NewHealth(conditions ...string) *Health {
	h := &Health{unmet: make(map[string]string)}
	for _, condition := range conditions {
		h.unmet[condition] = "starting"
	}
	return h
}

// SetMet records that condition is met.
func (h *Health) SetMet(condition string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.unmet, condition)
}

// SetUnmet records that condition is not met, and why.
func (h *Health) SetUnmet(condition, reason string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.unmet[condition] = reason
}

// Stop makes the process permanently not ready, for its shutdown.
func (h *Health) Stop() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.stopped = true
}

// Unmet returns one line for each reason why the process is not ready, sorted by condition.
func (h *Health) Unmet() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	lines := make([]string, 0, len(h.unmet)+1)
	if h.stopped {
		lines = append(lines, "shutting down")
	}
	for _, condition := range slices.Sorted(maps.Keys(h.unmet)) {
		lines = append(lines, condition+": "+h.unmet[condition])
	}
	return lines
}

// Register adds GET /readyz and GET /livez to mux. Both answer 200 or 503 with a JSON body.
func (h *Health) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, r *http.Request) {
		unmet := h.Unmet()
		writeJSON(w, len(unmet) == 0, map[string]any{"Ready": len(unmet) == 0, "Unmet": unmet})
	})
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, r *http.Request) {
		err := h.probe(r.Context())
		writeJSON(w, err == nil, map[string]any{"Live": err == nil})
	})
}

func (h *Health) probe(ctx context.Context) error {
	if h.Probe == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return h.Probe(ctx)
}

func writeJSON(w http.ResponseWriter, ok bool, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}
