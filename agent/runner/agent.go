package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

	"oleandertally/agent/executor"
	"oleandertally/agent/invoker"
	"oleandertally/agent/listener"
	"oleandertally/core/authenticator"
	"oleandertally/core/configurator"
	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/exporter"
	"oleandertally/core/looper"
	"oleandertally/core/operator"
	"oleandertally/core/recorder"
	"oleandertally/core/registrant"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
)

const (
	// mailboxSize is the number of events that may wait for the control goroutine.
	mailboxSize = 4096
	// maxResultBytes bounds the results that are kept to be resent.
	maxResultBytes = 64 << 20
)

// The conditions of an agent that is ready.
const (
	conditionLease    = "Lease"    // the controllers have granted the agent a lease
	conditionUpstream = "Upstream" // the agent offers slots for work
)

// Conditions returns the conditions that must be met for an agent to be ready for work.
func Conditions() []string { return []string{conditionLease, conditionUpstream} }

// guard lists the roles that may call each method of an agent.
var guard = authenticator.Guard{
	encoder.Worker_Link_FullMethodName:     {specifier.Entry},
	encoder.Timeline_Gather_FullMethodName: {authenticator.Operator},
}

// Agent is one agent process. Exported fields are set before Open.
type Agent struct {
	Settings configurator.AgentSettings
	Security *authenticator.Authenticator
	Events   *recorder.Buffer // its Process is set to the agent's current identity
	Metrics  *exporter.Agent
	Health   *supervisor.Health
	Log      zerolog.Logger

	self          atomic.Pointer[specifier.Identity]
	mailbox       *looper.Mailbox[executor.Event]
	streams       *listener.Streams
	invoker       *invoker.Invoker
	registrant    *registrant.Registrant
	lease         *registrant.Lease
	pings         pings
	pool          *dialer.Pool
	web           *http.Server
	server        *grpc.Server
	entries       net.Listener
	announcements net.Listener
	calls         *supervisor.GuardedGroup
	callCtx       context.Context
	workFinished  chan struct{} // closed when no task is queued or running
	allReleased   chan struct{} // closed when every entry has released the agent
	leave         chan struct{} // closed to end the session with the controllers
	sessionEnded  chan struct{} // closed when the session has ended
}

// Check returns an error that names the first field that is missing.
func (a *Agent) Check() error {
	switch {
	case len(a.Settings.Controllers) == 0:
		return errors.New("agent: Settings.Controllers: is empty")
	case a.Security == nil, a.Events == nil, a.Metrics == nil, a.Health == nil:
		return errors.New("agent: Security, Events, Metrics, Health: must be set")
	}
	return nil
}

// Open prepares the agent and opens both listeners. Nothing is announced before Run.
func (a *Agent) Open() error {
	if err := a.Check(); err != nil {
		return err
	}
	identity := specifier.Identity{Name: a.Settings.Name, Incarnation: specifier.Incarnation(rand.Uint64())}
	a.self.Store(&identity)
	a.Events.SetProcess(identity.String())
	a.mailbox = looper.NewMailbox[executor.Event](mailboxSize)
	a.streams = &listener.Streams{}
	a.invoker = invoker.New(a.Settings.MaxConnections)
	a.pool = &dialer.Pool{Credentials: a.Security.ClientCredentials(specifier.Controller, ""), MaxMessage: int(a.Settings.MaxMessage),
		Stats: []stats.Handler{&exporter.StatsHandler{Member: a.Metrics.Member}}}
	a.workFinished, a.allReleased = make(chan struct{}), make(chan struct{})
	a.leave, a.sessionEnded = make(chan struct{}), make(chan struct{})
	a.Health.Probe = a.probe
	a.watchLease()
	var err error
	if a.entries, err = net.Listen("tcp", a.Settings.AgentAddr.String()); err != nil {
		return errors.Wrap(err, "agent: listen on AgentAddr")
	}
	if a.announcements, err = net.Listen("tcp", a.Settings.AnnounceAddr.String()); err != nil {
		a.entries.Close()
		return errors.Wrap(err, "agent: listen on AnnounceAddr")
	}
	a.serve()
	return nil
}

// serve prepares both servers.
func (a *Agent) serve() {
	a.server = dialer.NewGuardedServer(dialer.LogTo(a.Log), a.Security.ServerOptions(guard, a.Settings.MaxMessage)...)
	encoder.RegisterWorkerServer(a.server, &listener.Worker{Self: a.Self, Sink: a.mailbox, Streams: a.streams, Clock: time.Now,
		Verify: func(ctx context.Context, entry string) error {
			return a.Security.CheckPeer(ctx, authenticator.Peer{Role: specifier.Entry, Name: entry})
		}})
	encoder.RegisterTimelineServer(a.server, &operator.Timeline{Buffer: a.Events})
	announcer := &listener.Announcer{Sink: a.mailbox, Clock: time.Now}
	a.web = &http.Server{Handler: announcer.Routes(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, MaxHeaderBytes: 16 << 10}
}

func (a *Agent) watchLease() {
	a.lease = registrant.NewLease()
	a.lease.Clock = time.Now
	a.lease.Renewed = func(left time.Duration) {
		a.Health.SetMet(conditionLease)
		a.Metrics.SetLeaseMargin(left)
	}
	a.lease.Expired = func() { a.Health.SetUnmet(conditionLease, "no controller has renewed it in time") }
}

// Run serves until ctx ends, which aborts the calls to the upstream; Steps stop an agent gracefully. Run calls Open
// unless it was called before.
func (a *Agent) Run(ctx context.Context) error {
	if a.mailbox == nil {
		if err := a.Open(); err != nil {
			return err
		}
	}
	defer a.invoker.Close()
	defer a.pool.Close()
	group, ctx := supervisor.WithContext(ctx)
	a.calls, a.callCtx = group, ctx
	a.registrant = registrant.New()
	a.registrant.Member = a.member(0)
	a.registrant.Controllers, a.registrant.Pool, a.registrant.Log = a.Settings.Controllers, a.pool, a.Log
	a.registrant.Notify = a.notify
	publisher := &loadPublisher{Executor: executor.New(a.Settings.MaxQueue, maxResultBytes)}
	a.registrant.Load = publisher.load.Load
	machine := newMeter(publisher, a.Metrics)
	loop := &looper.Loop[executor.Event, executor.Action]{Machine: machine, Mailbox: a.mailbox, Perform: a.perform, Clock: time.Now}
	group.Go(func() error { return loop.Run(ctx) })
	group.Go(func() error { return a.lease.Run(ctx) })
	group.Go(func() error { return supervisor.Serve(a.web, a.announcements)(ctx) })
	group.Go(func() error { return dialer.Serve(a.server, a.entries)(ctx) })
	group.Go(func() error {
		defer close(a.sessionEnded)
		return a.registrant.RunUntil(ctx, a.leave)
	})
	return group.Wait()
}

// Self returns the agent's current identity.
func (a *Agent) Self() specifier.Identity { return *a.self.Load() }

func (a *Agent) member(slots int) specifier.Member {
	return specifier.Member{Identity: a.Self(), Role: specifier.Agent, Addr: a.Settings.AgentAddr, Zone: a.Settings.Zone,
		Rack: a.Settings.Rack, Service: a.Settings.Service, Slots: slots}
}

// notify converts an update of the controllers into events.
func (a *Agent) notify(ctx context.Context, notice registrant.Notification) error {
	if notice.Self != a.Self() {
		// Events from now on belong to the new incarnation. No task has started since the lease of the old
		// incarnation ended.
		a.self.Store(&notice.Self)
		a.Events.SetProcess(notice.Self.String())
	}
	if notice.Configuration != nil {
		a.Metrics.SetRevision(notice.Configuration.Revision)
	}
	var events []executor.Event
	if !notice.LeaseEnd.IsZero() {
		if err := a.lease.Renew(ctx, notice.LeaseEnd); err != nil {
			return err
		}
		events = append(events, executor.Leased{Until: notice.LeaseEnd})
	}
	if notice.Configuration != nil {
		events = append(events, executor.Configured{Profiles: notice.Configuration.Profiles})
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
		a.streams.Put(action.Entry, listener.EncodeDone(action))
	case executor.Refused:
		a.streams.Put(action.Entry, listener.EncodeRefused(action))
	case executor.Report:
		a.streams.Put(action.Entry, listener.EncodeReport(action))
	case executor.SendLoad:
		a.streams.Put(action.Entry, &encoder.AgentMessage{Load: listener.EncodeLoad(action.Load)})
	case executor.Announce:
		a.streams.PutAll(&encoder.AgentMessage{Load: listener.EncodeLoad(action.Load)})
		a.registrant.Announce(a.member(action.Load.Slots))
		if action.Load.Slots > 0 {
			a.Health.SetMet(conditionUpstream)
		} else {
			a.Health.SetUnmet(conditionUpstream, "takes no work")
		}
	case executor.RequestRelease:
		a.streams.Put(action.Entry, listener.EncodeRequestRelease(action))
	case executor.WorkFinished:
		close(a.workFinished)
	case executor.AllReleased:
		close(a.allReleased)
	case executor.Ponged:
		a.pings.answer(action.Number)
	case executor.RecordEvent:
		a.Events.Add(action.Event)
	}
}
