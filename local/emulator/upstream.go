package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"oleandertally/agent/listener"
)

const (
	// announceEvery is well inside the time after which the agent counts the upstream as gone.
	announceEvery = 3 * time.Second
	// announceRetry is how soon a failed announcement is repeated: the agent may still be starting.
	announceRetry = 50 * time.Millisecond
)

// Upstream is one stand-in. Fields are set before Run.
type Upstream struct {
	Worker    string
	Addr      netip.AddrPort // where it serves tasks
	AgentAddr netip.AddrPort // where its agent takes announcements
	Slots     int
	Starts    *StartLog
}

// Run serves until ctx ends, then tells its agent that it leaves.
func (u *Upstream) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", u.Addr.String())
	if err != nil {
		return errors.Wrap(err, "emulator: listen")
	}
	routes := http.NewServeMux()
	routes.HandleFunc("POST /tasks", u.serve)
	server := &http.Server{Handler: routes, ReadHeaderTimeout: 5 * time.Second}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error { return u.announce(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		server.Close()
		return context.Cause(ctx)
	})
	return group.Wait()
}

// serve runs one task.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.Starts.Add(time.Now(), u.Worker, r.Header.Get("Oleandertally-Job"), r.Header.Get("Oleandertally-Task"))
	var payload Payload
	if err := json.NewDecoder(r.Body).Decode(&payload); err != nil {
		http.Error(w, "payload: "+err.Error()+", expected RunMillis", http.StatusBadRequest)
		return
	}
	if payload.Fail {
		http.Error(w, "the task failed as its payload asked", http.StatusInternalServerError)
		return
	}
	timer := time.NewTimer(time.Duration(payload.RunMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		fmt.Fprintf(w, `{"RanMillis":%d,"Worker":%q}`, payload.RunMillis, u.Worker)
	case <-r.Context().Done():
	}
}

func (u *Upstream) announce(ctx context.Context) error {
	for {
		next := announceEvery
		if err := u.tell(ctx, http.MethodPost); err != nil {
			next = announceRetry
		}
		timer := time.NewTimer(next)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer cancel()
			// The agent may have stopped first; its record of the upstream lapses by itself.
			_ = u.tell(leaveCtx, http.MethodDelete)
			return context.Cause(ctx)
		}
	}
}

func (u *Upstream) tell(ctx context.Context, method string) error {
	body, err := json.Marshal(listener.Announcement{Addr: u.Addr, Slots: u.Slots})
	if err != nil {
		return errors.Wrap(err, "emulator: encode the announcement")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+u.AgentAddr.String()+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "emulator: build the announcement")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "emulator: announce")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Newf("emulator: announce: status %d", response.StatusCode)
	}
	return nil
}
