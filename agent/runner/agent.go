package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/credentials"

	"oleandertally/agent/executor"
	"oleandertally/agent/invoker"
	"oleandertally/agent/listener"
	"oleandertally/core/attender"
	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/mailer"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

const (
	mailboxSize = 4096
	queueBound  = 4096
	heldBytes   = 64 << 20
)

// Agent is one agent process. Exported fields are set before Run.
type Agent struct {
	Name         string
	Zone         string // availability zone
	Rack         string
	Service      string
	Addr         netip.AddrPort // gRPC, for entries
	AnnounceAddr netip.AddrPort // HTTP, for the upstream
	Controllers  []netip.AddrPort
	Credentials  credentials.TransportCredentials
	Events       *recorder.Buffer
	Log          zerolog.Logger

	self     atomic.Pointer[specifier.Identity]
	executor *executor.Executor
	mailbox  *mailer.Mailbox[executor.Event]
	links    *listener.Links
	invoker  *invoker.Invoker
	attender *attender.Attender
	calls    *errgroup.Group
	callCtx  context.Context
}

// Check returns an error that names the first field that is missing.
func (a *Agent) Check() error {
	switch {
	case a.Name == "":
		return errors.New("agent: Name: is empty")
	case a.Zone == "":
		return errors.New("agent: Zone: is empty")
	case a.Service == "":
		return errors.New("agent: Service: is empty")
	case !a.Addr.IsValid():
		return errors.New("agent: Addr: is missing, expected IP:port")
	case !a.AnnounceAddr.IsValid():
		return errors.New("agent: AnnounceAddr: is missing, expected IP:port")
	case len(a.Controllers) == 0:
		return errors.New("agent: Controllers: is empty")
	case a.Credentials == nil, a.Events == nil:
		return errors.New("agent: Credentials, Events: must be set")
	}
	return nil
}

// Run serves until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.Check(); err != nil {
		return err
	}
	a.self.Store(&specifier.Identity{Name: a.Name, Incarnation: specifier.Incarnation(rand.Uint64())})
	a.Events.SetProcess(a.Self().String())
	a.executor = executor.New(queueBound, heldBytes)
	a.mailbox = mailer.NewMailbox[executor.Event](mailboxSize)
	a.links = &listener.Links{}
	a.invoker = invoker.New()
	defer a.invoker.Close()
	pool := &dialer.Pool{Credentials: a.Credentials}
	defer pool.Close()

	group, ctx := errgroup.WithContext(ctx)
	a.calls, a.callCtx = group, ctx
	a.attender = attender.New()
	a.attender.Member = a.member(0)
	a.attender.Controllers, a.attender.Pool, a.attender.Log = a.Controllers, pool, a.Log
	a.attender.Notify = a.notify

	if err := a.serve(group, ctx); err != nil {
		return err
	}
	loop := &mailer.Loop[executor.Event, executor.Action]{Machine: a.executor, Mailbox: a.mailbox, Perform: a.perform, Clock: time.Now}
	group.Go(func() error { return loop.Run(ctx) })
	group.Go(func() error { return a.attender.Run(ctx) })
	return group.Wait()
}

// serve opens both listeners before anything is announced.
func (a *Agent) serve(group *errgroup.Group, ctx context.Context) error {
	entries, err := net.Listen("tcp", a.Addr.String())
	if err != nil {
		return errors.Wrap(err, "agent: listen on Addr")
	}
	announcements, err := net.Listen("tcp", a.AnnounceAddr.String())
	if err != nil {
		entries.Close()
		return errors.Wrap(err, "agent: listen on AnnounceAddr")
	}
	server := dialer.NewServer(a.Credentials)
	encoder.RegisterWorkerServer(server, &listener.Worker{Self: a.Self, Sink: a.mailbox, Links: a.links, Clock: time.Now})
	announcer := &listener.Announcer{Sink: a.mailbox, Clock: time.Now}
	web := &http.Server{Handler: announcer.Routes(), ReadHeaderTimeout: 5 * time.Second}
	group.Go(func() error { return errors.Wrap(server.Serve(entries), "agent: serve entries") })
	group.Go(func() error { return errors.Wrap(web.Serve(announcements), "agent: serve announcements") })
	group.Go(func() error {
		<-ctx.Done()
		server.Stop()
		web.Close()
		return nil
	})
	return nil
}

// Self returns the agent's present identity.
func (a *Agent) Self() specifier.Identity { return *a.self.Load() }

func (a *Agent) member(slots int) specifier.Member {
	return specifier.Member{Identity: a.Self(), Role: specifier.Agent, Addr: a.Addr, Zone: a.Zone, Rack: a.Rack,
		Service: a.Service, Slots: slots}
}

// notify turns what the controllers say into events.
func (a *Agent) notify(ctx context.Context, notice attender.Notice) error {
	a.self.Store(&notice.Self)
	a.Events.SetProcess(notice.Self.String())
	var events []executor.Event
	if !notice.Until.IsZero() {
		events = append(events, executor.Leased{Until: notice.Until})
	}
	for _, member := range notice.Members {
		if member.Identity == notice.Self {
			events = append(events, executor.Draining{On: member.State == specifier.Draining})
		}
	}
	for _, event := range events {
		if err := a.mailbox.Send(ctx, event); err != nil {
			return err
		}
	}
	return nil
}

// perform runs on the control goroutine and does not block.
func (a *Agent) perform(action executor.Action) {
	switch action := action.(type) {
	case executor.Run:
		a.calls.Go(func() error {
			ended := a.invoker.Invoke(a.callCtx, action)
			return a.mailbox.Send(a.callCtx, ended)
		})
	case executor.Done:
		a.links.Put(action.Entry, listener.EncodeDone(action))
	case executor.Refused:
		a.links.Put(action.Entry, listener.EncodeRefused(action))
	case executor.Report:
		a.links.Put(action.Entry, listener.EncodeReport(action))
	case executor.Greet:
		a.links.Put(action.Entry, &encoder.AgentMessage{Load: listener.EncodeLoad(action.Load)})
	case executor.Announce:
		a.links.PutAll(&encoder.AgentMessage{Load: listener.EncodeLoad(action.Load)})
		a.attender.Announce(a.member(action.Load.Slots))
	case executor.Note:
		a.Events.Add(action.Event)
	}
}
