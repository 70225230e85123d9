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
	// announceInterval is well below the time after which the agent regards the upstream as terminated.
	announceInterval = 3 * time.Second
	// announceRetryInterval is short because an announcement fails mostly while the agent is still starting.
	announceRetryInterval = 50 * time.Millisecond
)

// Upstream is an emulated upstream. Its fields are set before Run.
type Upstream struct {
	Worker    string
	Addr      netip.AddrPort // on which it serves tasks
	AgentAddr netip.AddrPort // on which its agent receives announcements
	Slots     int
	Starts    *StartLog
}

// Run serves tasks until ctx ends, then withdraws its announcement from the agent.
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
	group.Go(func() error { return u.announceRepeatedly(ctx) })
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

func (u *Upstream) announceRepeatedly(ctx context.Context) error {
	for {
		next := announceInterval
		if err := u.sendAnnouncement(ctx, http.MethodPost); err != nil {
			next = announceRetryInterval
		}
		timer := time.NewTimer(next)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			withdrawCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer cancel()
			// An error is ignored: the agent may have stopped first, and its record of the upstream expires.
			_ = u.sendAnnouncement(withdrawCtx, http.MethodDelete)
			return context.Cause(ctx)
		}
	}
}

func (u *Upstream) sendAnnouncement(ctx context.Context, method string) error {
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
