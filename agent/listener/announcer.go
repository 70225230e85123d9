package listener

import (
	"encoding/json"
	"net/http"
	"time"

	"oleandertally/agent/executor"
	"oleandertally/core/looper"
	"oleandertally/core/specifier"
)

// announcementTimeout is how long an announcement is valid. The upstream repeats it at shorter intervals.
const announcementTimeout = 10 * time.Second

// Announcer serves the upstream's announcements. Fields are set before use.
type Announcer struct {
	Sink  *looper.Mailbox[executor.Event]
	Clock func() time.Time
}

// Routes returns the handler of /v1/announce.
func (a *Announcer) Routes() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("POST /v1/announce", a.announce)
	routes.HandleFunc("DELETE /v1/announce", a.leave)
	return routes
}

func (a *Announcer) announce(w http.ResponseWriter, r *http.Request) {
	var announcement Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<10))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announcement); err != nil {
		http.Error(w, "Body: "+err.Error()+", expected Addr and Slots", http.StatusBadRequest)
		return
	}
	problems := &specifier.Problems{}
	if !announcement.Addr.IsValid() || announcement.Addr.Port() == 0 {
		problems.Add("Addr", "expected IP:port")
	}
	if announcement.Slots < 1 || announcement.Slots > specifier.MaxSlots {
		problems.Add("Slots", "is %d, expected 1 to %d", announcement.Slots, specifier.MaxSlots)
	}
	if problems.OrNil() != nil {
		http.Error(w, problems.Error(), http.StatusBadRequest)
		return
	}
	event := executor.UpstreamUp{Addr: announcement.Addr, Slots: announcement.Slots, Until: a.Clock().Add(announcementTimeout)}
	if err := a.Sink.Send(r.Context(), event); err != nil {
		http.Error(w, "the agent is stopping", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *Announcer) leave(w http.ResponseWriter, r *http.Request) {
	if err := a.Sink.Send(r.Context(), executor.UpstreamDown{}); err != nil {
		http.Error(w, "the agent is stopping", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
