package deployer

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"

	agentrunner "oleandertally/agent/runner"
	"oleandertally/controller/server"
	"oleandertally/core/authenticator"
	"oleandertally/core/configurator"
	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/exporter"
	"oleandertally/core/looper"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
	"oleandertally/entry/connector"
	"oleandertally/entry/coordinator"
	entryrunner "oleandertally/entry/runner"
	"oleandertally/local/emulator"
	"oleandertally/state/replicator"
)

const (
	eventsKept     = 1 << 18
	maxSubmissions = 100_000
	slots          = 8
	perRack        = 3
)

// Site is a whole site. Exported fields are set before Start.
type Site struct {
	Layout      Layout
	DataFolder  string   // holds a data folder for each controller
	Zones       []string // availability zones
	Service     string
	Entries     int
	Controllers int
	Workers     int
	MemberLease time.Duration
	Profiles    []specifier.Profile
	Teams       []specifier.Team
	Starts      *emulator.StartLog
	Log         zerolog.Logger
	Stats       stats.Handler // of the streams that entries open; default none

	ctx         context.Context
	cancel      context.CancelFunc
	group       *errgroup.Group
	entries     []*process
	controllers []*process
	agents      []*process
	upstreams   []*process
	buffers     []*recorder.Buffer
}

// Start starts every role and returns once the profiles are in force at the controllers.
func (s *Site) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.group, s.ctx = errgroup.WithContext(ctx)
	for i := range s.Controllers {
		s.controllers = append(s.controllers, s.startController(i))
	}
	for i := range s.Workers {
		s.agents = append(s.agents, s.startAgent(i))
		s.upstreams = append(s.upstreams, s.startUpstream(i))
	}
	for i := range s.Entries {
		s.entries = append(s.entries, s.startEntry(i))
	}
	return s.configure()
}

// Stop ends every role and returns the first error of one that ended by itself.
func (s *Site) Stop() error {
	s.cancel()
	return s.group.Wait()
}

// Drain ends entries and agents as a planned stop does, so that nothing in flight is cut off: entries answer
// their jobs, agents leave while the entries can still release them, and then the entries leave. Stop
// ends the rest.
func (s *Site) Drain(ctx context.Context) error {
	answer := func(ctx context.Context, entry *process) error { return entry.step(ctx, 0, 1) }
	leave := func(ctx context.Context, entry *process) error { return entry.step(ctx, 1, len(entry.role.Steps())) }
	end := func(ctx context.Context, agent *process) error { return agent.stop(ctx) }
	return errors.CombineErrors(inParallel(ctx, s.entries, answer),
		errors.CombineErrors(inParallel(ctx, s.agents, end), inParallel(ctx, s.entries, leave)))
}

// inParallel does the same to all roles, and returns the first error.
func inParallel(ctx context.Context, roles []*process, do func(context.Context, *process) error) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, role := range roles {
		group.Go(func() error { return do(ctx, role) })
	}
	return group.Wait()
}

// KillEntry ends an entry at once.
func (s *Site) KillEntry(i int) { s.entries[i].kill() }

// StopEntry ends an entry as a planned stop does, and returns when it has left.
func (s *Site) StopEntry(ctx context.Context, i int) error { return s.entries[i].stop(ctx) }

// StopAgent ends an agent as a planned stop does, and returns when it has left.
func (s *Site) StopAgent(ctx context.Context, i int) error { return s.agents[i].stop(ctx) }

// RestartEntry starts a killed entry again, as a new incarnation.
func (s *Site) RestartEntry(i int) { s.entries[i] = s.startEntry(i) }

// KillAgent ends an agent at once; its upstream goes on.
func (s *Site) KillAgent(i int) { s.agents[i].kill() }

// KillController ends a controller at once.
func (s *Site) KillController(i int) { s.controllers[i].kill() }

// Events returns the recorded events of all processes and how many were dropped.
func (s *Site) Events() (events []recorder.Event, dropped int) {
	for _, buffer := range s.buffers {
		own, lost := buffer.All()
		events = append(events, own...)
		dropped += lost
	}
	return events, dropped
}

// Slots returns how many tasks run at once.
func (s *Site) Slots() int { return s.Workers * slots }

func (s *Site) zone(i int) string { return s.Zones[i%len(s.Zones)] }

func (s *Site) peers() []server.Peer {
	var peers []server.Peer
	for i := range s.Controllers {
		peers = append(peers, server.Peer{Name: fmt.Sprintf("controller-%d", i+1), Addr: s.Layout.Controller(i)})
	}
	return peers
}

func (s *Site) startController(i int) *process {
	name := fmt.Sprintf("controller-%d", i+1)
	controller := &server.Controller{Name: name, Zone: s.zone(i), Addr: s.Layout.Controller(i), DataFolder: filepath.Join(s.DataFolder, name), Peers: s.peers(),
		Bootstrap: i == 0 && s.isNew(name), MemberLease: s.MemberLease, MaxSubmissions: maxSubmissions, MaxMessage: encoder.MaxMessage,
		Consensus: replicator.Defaults(), Security: insecureSite(), Metrics: exporter.NewController(),
		Health: supervisor.NewHealth(server.Conditions()...), Log: s.Log}
	return start(s.ctx, s.group, "controller", abrupt{controller.Run})
}

// isNew reports whether the controller called name never ran. Only then it may begin a cluster.
func (s *Site) isNew(name string) bool {
	_, err := os.Stat(filepath.Join(s.DataFolder, name))
	return errors.Is(err, os.ErrNotExist)
}

// insecureSite admits everybody: the site is on loopback.
func insecureSite() *authenticator.Authenticator {
	security, err := authenticator.New(configurator.SecuritySettings{Insecure: true}, authenticator.Peer{}, time.Now, func(error) {})
	if err != nil {
		panic(err) // without certificates there is nothing to read
	}
	return security
}

func (s *Site) buffer() *recorder.Buffer {
	buffer := &recorder.Buffer{Cap: eventsKept, Clock: time.Now}
	s.buffers = append(s.buffers, buffer)
	return buffer
}

func (s *Site) startAgent(i int) *process {
	settings := configurator.Defaults[configurator.AgentSettings]()
	settings.Name, settings.Zone, settings.Rack, settings.Service = fmt.Sprintf("worker-%02d", i+1), s.zone(i/perRack), fmt.Sprintf("rack-%d", i/perRack+1), s.Service
	settings.AgentAddr, settings.AnnounceAddr, settings.Controllers = s.Layout.agent(i), s.Layout.announce(i), s.controllerAddrs()
	agent := &agentrunner.Agent{Settings: settings, Security: insecureSite(), Events: s.buffer(), Log: s.Log,
		Metrics: exporter.NewAgent(), Health: supervisor.NewHealth(agentrunner.Conditions()...)}
	return start(s.ctx, s.group, "agent", agent)
}

func (s *Site) startUpstream(i int) *process {
	upstream := &emulator.Upstream{Worker: fmt.Sprintf("worker-%02d", i+1), Addr: s.Layout.upstream(i), AgentAddr: s.Layout.announce(i),
		Slots: slots, Starts: s.Starts}
	return start(s.ctx, s.group, "upstream", abrupt{upstream.Run})
}

func (s *Site) startEntry(i int) *process {
	settings := configurator.Defaults[configurator.EntrySettings]()
	settings.Name, settings.Zone, settings.Rack = fmt.Sprintf("entry-%d", i+1), s.zone(i), fmt.Sprintf("entry-%d", i+1)
	settings.HTTPAddr, settings.PeerAddr, settings.Controllers = s.Layout.Entry(i), s.Layout.entryPeer(i), s.controllerAddrs()
	entry := &entryrunner.Entry{Settings: settings, Security: insecureSite(), Events: s.buffer(), Log: s.Log,
		Stats: s.Stats, Metrics: exporter.NewEntry(), Health: supervisor.NewHealth(entryrunner.Conditions()...)}
	return start(s.ctx, s.group, "entry", entry)
}

func (s *Site) controllerAddrs() []netip.AddrPort {
	var addrs []netip.AddrPort
	for i := range s.Controllers {
		addrs = append(addrs, s.Layout.Controller(i))
	}
	return addrs
}

// configure puts the profiles and teams in force, as an operator would.
func (s *Site) configure() error {
	ctx, cancel := context.WithTimeout(s.ctx, 20*time.Second)
	defer cancel()
	pool := &dialer.Pool{Credentials: insecure.NewCredentials()}
	defer pool.Close()
	sink := looper.NewMailbox[coordinator.Event](1)
	proposer := connector.NewProposer()
	proposer.Pool, proposer.Sink, proposer.Log = pool, sink, s.Log
	for c := range s.Controllers {
		proposer.Controllers = append(proposer.Controllers, s.Layout.Controller(c))
	}
	proposer.Propose(s.firstChange())
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return proposer.Run(groupCtx) })
	var decision specifier.Decision
	group.Go(func() error {
		defer cancel()
		event, err := sink.Receive(groupCtx)
		if decided, ok := event.(coordinator.Decided); ok {
			decision = decided.Decision
		}
		return err
	})
	_ = group.Wait() // the proposer always ends with the context's error
	if cause := context.Cause(s.ctx); cause != nil {
		return errors.Wrap(cause, "deployer: a role ended before the first configuration")
	}
	if decision.Verdict != specifier.Applied {
		return errors.Newf("deployer: the first configuration was not accepted: %s %s", decision.Verdict, decision.Detail)
	}
	return nil
}
