package runner

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

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
	"oleandertally/dispatch/scheduler"
	"oleandertally/entry/answerer"
	"oleandertally/entry/connector"
	"oleandertally/entry/coordinator"
)

// mailboxSize is the maximum number of events queued for the control goroutine.
const mailboxSize = 8192

// The readiness conditions of an entry.
const (
	conditionLease    = "Lease"    // the entry has a valid lease from the controllers
	conditionProfiles = "Profiles" // a configuration is in force
)

// Conditions returns the conditions that an entry must meet to be ready for callers.
func Conditions() []string { return []string{conditionLease, conditionProfiles} }

// guard lists the roles that may call each method of an entry.
var guard = authenticator.Guard{
	encoder.Peer_Await_FullMethodName:      {specifier.Entry},
	encoder.Timeline_Gather_FullMethodName: {authenticator.Operator},
}

// Entry is one entry process. Exported fields are set before Open.
type Entry struct {
	Settings configurator.EntrySettings
	Security *authenticator.Authenticator
	Events   *recorder.Buffer // Open sets its process to the entry's identity
	Metrics  *exporter.Entry
	Health   *supervisor.Health
	Log      zerolog.Logger
	Stats    stats.Handler // optional; observes all connections that the entry opens, in addition to its own metrics
	// Notice is how long the entry still answers callers with NotRun after a shutdown begins, so that the load
	// balancer has time to see that the entry is not ready.
	Notice time.Duration

	self         atomic.Pointer[specifier.Identity]
	needs        atomic.Pointer[[]specifier.ServiceShare]
	mailbox      *looper.Mailbox[coordinator.Event]
	drained      chan struct{}
	waiters      *answerer.Waiters
	proposer     *connector.Proposer
	agents       *connector.Agents
	asker        *connector.Asker
	lease        *registrant.Lease
	pools        pools
	web          *http.Server
	server       *grpc.Server
	callers      net.Listener
	peers        net.Listener
	leave        chan struct{} // closed to end the session at the controllers
	sessionEnded chan struct{} // closed when the session has ended
}

// Check returns an error that names the first field that is missing.
func (e *Entry) Check() error {
	switch {
	case len(e.Settings.Controllers) == 0:
		return errors.New("entry: Settings.Controllers: is empty")
	case e.Security == nil, e.Events == nil, e.Metrics == nil, e.Health == nil:
		return errors.New("entry: Security, Events, Metrics, Health: must be set")
	}
	return nil
}

// Open opens both listeners, before the entry registers at the controllers.
func (e *Entry) Open() error {
	if err := e.Check(); err != nil {
		return err
	}
	identity := specifier.Identity{Name: e.Settings.Name, Incarnation: specifier.Incarnation(rand.Uint64())}
	e.self.Store(&identity)
	e.Events.SetProcess(identity.String())
	e.mailbox = looper.NewMailbox[coordinator.Event](mailboxSize)
	e.drained = make(chan struct{}, 1)
	e.leave, e.sessionEnded = make(chan struct{}), make(chan struct{})
	e.waiters = &answerer.Waiters{}
	e.lease = registrant.NewLease()
	e.pools = newPools(e.Security, int(e.Settings.MaxMessage), &exporter.StatsHandler{Member: e.Metrics.Member}, e.Stats)
	e.Health.Probe = e.probe
	var err error
	if e.callers, err = net.Listen("tcp", e.Settings.HTTPAddr.String()); err != nil {
		return errors.Wrap(err, "entry: listen on HttpAddr")
	}
	if e.peers, err = net.Listen("tcp", e.Settings.PeerAddr.String()); err != nil {
		e.callers.Close()
		return errors.Wrap(err, "entry: listen on PeerAddr")
	}
	e.serve()
	return nil
}

// serve sets up both servers.
func (e *Entry) serve() {
	limits := e.Settings.Limits
	handler := &answerer.Handler{Sink: e.mailbox, Waiters: e.waiters, Clock: time.Now, Admit: e.Security.CheckAnyTeam,
		Authorize: e.Security.CheckTeam, MaxBody: int64(limits.MaxBody), BodyTimeout: limits.BodyTimeout,
		Requests: answerer.NewGate(limits.MaxRequests),
		Refused:  func(answer specifier.Answer) { e.Metrics.Answered(answer.Outcome, answer.Reason) }}
	e.web = &http.Server{Handler: handler.Routes(), ReadHeaderTimeout: limits.HeaderTimeout, MaxHeaderBytes: 16 << 10}
	if config := e.Security.CallerTLS(); config != nil {
		e.callers = tls.NewListener(e.callers, config)
	}
	e.server = dialer.NewGuardedServer(dialer.LogTo(e.Log), e.Security.ServerOptions(guard, e.Settings.MaxMessage)...)
	encoder.RegisterPeerServer(e.server, &answerer.Peer{Sink: e.mailbox, Waiters: e.waiters})
	encoder.RegisterTimelineServer(e.server, &operator.Timeline{Buffer: e.Events})
}

// Run serves until ctx ends, which aborts requests in flight; Steps stop an entry gracefully. Run calls Open unless it
// was called before.
func (e *Entry) Run(ctx context.Context) error {
	if e.mailbox == nil {
		if err := e.Open(); err != nil {
			return err
		}
	}
	defer e.pools.close()
	group, ctx := supervisor.WithContext(ctx)
	e.connect(group, ctx)
	machine := newMeter(coordinator.New(e.Settings.Limits.MaxJobs, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		&scheduler.Scheduler{Zone: e.Settings.Zone, Seed: rand.Uint64()}), e.Metrics)
	loop := &looper.Loop[coordinator.Event, coordinator.Action]{Machine: machine, Mailbox: e.mailbox, Perform: e.perform, Clock: time.Now}
	group.Go(func() error { return loop.Run(ctx) })
	group.Go(func() error { return e.proposer.Run(ctx) })
	group.Go(func() error { return e.lease.Run(ctx) })
	group.Go(func() error { return supervisor.Serve(e.web, e.callers)(ctx) })
	group.Go(func() error { return dialer.Serve(e.server, e.peers)(ctx) })
	e.register(group, ctx)
	return group.Wait()
}

// connect sets up the connections to controllers, agents and other entries.
func (e *Entry) connect(group *supervisor.GuardedGroup, ctx context.Context) {
	e.proposer = connector.NewProposer()
	e.proposer.Controllers, e.proposer.Pool, e.proposer.Sink, e.proposer.Log = e.Settings.Controllers, e.pools.controllers, e.mailbox, e.Log
	e.agents = &connector.Agents{Self: e.Self, Pool: e.pools.agents, Sink: e.mailbox, Log: e.Log, Clock: time.Now, Group: group, Ctx: ctx}
	e.asker = &connector.Asker{Pool: e.pools.entries, Sink: e.mailbox, Group: group, Ctx: ctx}
	e.lease.Clock = time.Now
	e.lease.Renewed = func(left time.Duration) {
		e.Health.SetMet(conditionLease)
		e.Metrics.SetLeaseMargin(left)
	}
	e.lease.Expired = func() { e.Health.SetUnmet(conditionLease, "no controller has renewed it in time") }
}

// register registers the entry at the controllers and renews its lease until the entry leaves.
func (e *Entry) register(group *supervisor.GuardedGroup, ctx context.Context) {
	session := registrant.New()
	session.Member = specifier.Member{Identity: e.Self(), Role: specifier.Entry, Addr: e.Settings.PeerAddr,
		Zone: e.Settings.Zone, Rack: e.Settings.Rack}
	session.Needs = func() []specifier.ServiceShare {
		if needs := e.needs.Load(); needs != nil {
			return *needs
		}
		return nil
	}
	session.Controllers, session.Pool, session.Log, session.Notify = e.Settings.Controllers, e.pools.controllers, e.Log, e.notify
	group.Go(func() error {
		defer close(e.sessionEnded)
		return session.RunUntil(ctx, e.leave)
	})
}

// Self returns the entry's current identity.
func (e *Entry) Self() specifier.Identity { return *e.self.Load() }

// notify converts a notice of the controllers to events for the coordinator.
func (e *Entry) notify(ctx context.Context, notice registrant.Notification) error {
	var events []coordinator.Event
	if !notice.LeaseEnd.IsZero() {
		e.self.Store(&notice.Self)
		if err := e.lease.Renew(ctx, notice.LeaseEnd); err != nil {
			return err
		}
		events = append(events, coordinator.Identified{Self: notice.Self}, coordinator.SharesGranted{Until: notice.LeaseEnd, Shares: notice.Shares})
	}
	if notice.Members != nil {
		events = append(events, coordinator.MembersChanged{Version: notice.MemberVersion, Members: notice.Members})
	}
	if notice.Configuration != nil {
		events = append(events, coordinator.Configured{Configuration: *notice.Configuration})
		e.Health.SetMet(conditionProfiles)
	}
	for _, event := range events {
		if err := e.mailbox.Send(ctx, event); err != nil {
			return err
		}
	}
	if notice.Members != nil {
		// Called after MembersChanged is queued, since the coordinator must know the agent before it gets AgentConnected.
		e.agents.SetMembers(notice.Members)
	}
	return nil
}

// perform runs on the control goroutine and does not block.
func (e *Entry) perform(action coordinator.Action) {
	switch action := action.(type) {
	case coordinator.Reply:
		e.waiters.Deliver(action)
	case coordinator.Propose:
		e.proposer.Propose(action.Command)
	case coordinator.Assign:
		e.agents.Put(action.Agent, connector.EncodeAssign(action, time.Now()))
	case coordinator.Withdraw:
		e.agents.Put(action.Agent, connector.EncodeWithdraw(action))
	case coordinator.Fence:
		e.agents.Put(action.Agent, connector.EncodeFence(action, time.Now()))
	case coordinator.AskOwner:
		e.asker.Ask(action)
	case coordinator.ReleaseAgent:
		e.agents.Put(action.Agent, connector.EncodeRelease())
	case coordinator.Drained:
		select {
		case e.drained <- struct{}{}:
		default: // an earlier Drained has not been read
		}
	case coordinator.RequestShares:
		e.needs.Store(&action.Needs)
	case coordinator.RecordEvent:
		e.Events.Add(action.Event)
	}
}
