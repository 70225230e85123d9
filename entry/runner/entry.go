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
	"google.golang.org/grpc/stats"

	"oleandertally/core/attender"
	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/mailer"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/dispatch/scheduler"
	"oleandertally/entry/answerer"
	"oleandertally/entry/coordinator"
	"oleandertally/entry/linker"
)

const (
	mailboxSize = 8192
	maxJobs     = 50_000
)

// Entry is one entry process. Exported fields are set before Run.
type Entry struct {
	Name        string
	Zone        string // availability zone
	Rack        string
	HTTPAddr    netip.AddrPort // for callers
	PeerAddr    netip.AddrPort // gRPC, for other entries
	Controllers []netip.AddrPort
	Credentials credentials.TransportCredentials
	Events      *recorder.Buffer
	Log         zerolog.Logger
	Stats       stats.Handler // of the streams that the entry opens; default none

	self        atomic.Pointer[specifier.Identity]
	coordinator *coordinator.Coordinator
	mailbox     *mailer.Mailbox[coordinator.Event]
	waiters     *answerer.Waiters
	proposer    *linker.Proposer
	agents      *linker.Agents
	asker       *linker.Asker
}

// Check returns an error that names the first field that is missing.
func (e *Entry) Check() error {
	switch {
	case e.Name == "":
		return errors.New("entry: Name: is empty")
	case e.Zone == "":
		return errors.New("entry: Zone: is empty")
	case !e.HTTPAddr.IsValid():
		return errors.New("entry: HTTPAddr: is missing, expected IP:port")
	case !e.PeerAddr.IsValid():
		return errors.New("entry: PeerAddr: is missing, expected IP:port")
	case len(e.Controllers) == 0:
		return errors.New("entry: Controllers: is empty")
	case e.Credentials == nil, e.Events == nil:
		return errors.New("entry: Credentials, Events: must be set")
	}
	return nil
}

// Run serves until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	if err := e.Check(); err != nil {
		return err
	}
	identity := specifier.Identity{Name: e.Name, Incarnation: specifier.Incarnation(rand.Uint64())}
	e.self.Store(&identity)
	e.Events.SetProcess(identity.String())
	e.mailbox = mailer.NewMailbox[coordinator.Event](mailboxSize)
	e.waiters = &answerer.Waiters{}
	e.coordinator = coordinator.New(maxJobs, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), &scheduler.Scheduler{})
	pool := &dialer.Pool{Credentials: e.Credentials, Stats: e.Stats}
	defer pool.Close()

	group, ctx := errgroup.WithContext(ctx)
	e.proposer = linker.NewProposer()
	e.proposer.Controllers, e.proposer.Pool, e.proposer.Sink, e.proposer.Log = e.Controllers, pool, e.mailbox, e.Log
	e.agents = &linker.Agents{Self: e.Self, Pool: pool, Sink: e.mailbox, Log: e.Log, Clock: time.Now, Group: group, Ctx: ctx}
	e.asker = &linker.Asker{Pool: pool, Sink: e.mailbox, Group: group, Ctx: ctx}
	attendance := attender.New()
	attendance.Member = specifier.Member{Identity: identity, Role: specifier.Entry, Addr: e.PeerAddr, Zone: e.Zone, Rack: e.Rack}
	attendance.Controllers, attendance.Pool, attendance.Log, attendance.Notify = e.Controllers, pool, e.Log, e.notify

	if err := e.serve(group, ctx); err != nil {
		return err
	}
	loop := &mailer.Loop[coordinator.Event, coordinator.Action]{Machine: e.coordinator, Mailbox: e.mailbox, Perform: e.perform, Clock: time.Now}
	group.Go(func() error { return loop.Run(ctx) })
	group.Go(func() error { return e.proposer.Run(ctx) })
	group.Go(func() error { return attendance.Run(ctx) })
	return group.Wait()
}

// serve opens both listeners before anything is announced.
func (e *Entry) serve(group *errgroup.Group, ctx context.Context) error {
	callers, err := net.Listen("tcp", e.HTTPAddr.String())
	if err != nil {
		return errors.Wrap(err, "entry: listen on HTTPAddr")
	}
	peers, err := net.Listen("tcp", e.PeerAddr.String())
	if err != nil {
		callers.Close()
		return errors.Wrap(err, "entry: listen on PeerAddr")
	}
	handler := &answerer.Handler{Sink: e.mailbox, Waiters: e.waiters, Clock: time.Now, Authorize: func(*http.Request, string) bool { return true }}
	web := &http.Server{Handler: handler.Routes(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	server := dialer.NewServer(e.Credentials)
	encoder.RegisterPeerServer(server, &answerer.Peer{Sink: e.mailbox, Waiters: e.waiters})
	group.Go(func() error { return errors.Wrap(web.Serve(callers), "entry: serve callers") })
	group.Go(func() error { return errors.Wrap(server.Serve(peers), "entry: serve entries") })
	group.Go(func() error {
		<-ctx.Done()
		server.Stop()
		web.Close()
		return nil
	})
	return nil
}

// Self returns the entry's present identity.
func (e *Entry) Self() specifier.Identity { return *e.self.Load() }

// notify turns what the controllers say into events.
func (e *Entry) notify(ctx context.Context, notice attender.Notice) error {
	var events []coordinator.Event
	if !notice.Until.IsZero() {
		e.self.Store(&notice.Self)
		events = append(events, coordinator.Identified{Self: notice.Self})
	}
	if notice.Members != nil {
		events = append(events, coordinator.MembersChanged{Version: notice.Version, Members: notice.Members})
	}
	if notice.Configuration != nil {
		events = append(events, coordinator.Configured{Configuration: *notice.Configuration})
	}
	for _, event := range events {
		if err := e.mailbox.Send(ctx, event); err != nil {
			return err
		}
	}
	if notice.Members != nil {
		// After MembersChanged is queued: AgentLinked must find the agent known.
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
		e.agents.Put(action.Agent, linker.EncodeAssign(action, time.Now()))
	case coordinator.Withdraw:
		e.agents.Put(action.Agent, linker.EncodeWithdraw(action))
	case coordinator.Fence:
		e.agents.Put(action.Agent, linker.EncodeFence(action, time.Now()))
	case coordinator.AskOwner:
		e.asker.Ask(action)
	case coordinator.Note:
		e.Events.Add(action.Event)
	}
}
