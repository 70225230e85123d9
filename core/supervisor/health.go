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

// probeTimeout is shorter than the usual timeout of a platform's probe, 1 s, so that the answer
// still arrives.
const probeTimeout = 800 * time.Millisecond

// Health answers whether a process is ready for work and whether it is alive. It is safe for
// concurrent use.
type Health struct {
	// Probe is asked for liveness, for example by passing an event through the control
	// goroutine; nil means that answering is enough. It is set before use.
	Probe func(ctx context.Context) error

	mutex   sync.Mutex
	unmet   map[string]string // reason by condition
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

// SetMet records that condition holds.
func (h *Health) SetMet(condition string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.unmet, condition)
}

// SetUnmet records that condition does not hold, and why.
func (h *Health) SetUnmet(condition, reason string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.unmet[condition] = reason
}

// Stop makes the process not ready for good.
func (h *Health) Stop() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.stopped = true
}

// Unmet returns one line for each reason why the process is not ready, sorted.
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
		answer(w, len(unmet) == 0, map[string]any{"Ready": len(unmet) == 0, "Unmet": unmet})
	})
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, r *http.Request) {
		err := h.probe(r.Context())
		answer(w, err == nil, map[string]any{"Live": err == nil})
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

func answer(w http.ResponseWriter, ok bool, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(body) // the prober has gone
}
