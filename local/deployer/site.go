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
	maxEvents      = 1 << 18
	maxSubmissions = 100_000
	slotsPerWorker = 8
	workersPerRack = 3
)

// Site runs the processes of a site. Exported fields are set before Start.
type Site struct {
	Layout      Layout
	DataFolder  string   // has a data folder for each controller
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
	Stats       stats.Handler // optional, for the streams that entries open

	ctx         context.Context
	cancel      context.CancelFunc
	group       *errgroup.Group
	entries     []*process
	controllers []*process
	agents      []*process
	upstreams   []*process
	buffers     []*recorder.Buffer
}

// Start starts every role and returns when the controllers have applied the initial configuration.
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

// Stop terminates every role and returns the first error of a role that ended without being stopped.
func (s *Site) Stop() error {
	s.cancel()
	return s.group.Wait()
}

// Drain shuts entries and agents down gracefully, so that no job in flight is aborted: first the entries answer their
// jobs, then the agents depart while the entries can still release them, and last the entries depart. The other roles
// run until Stop.
func (s *Site) Drain(ctx context.Context) error {
	answerJobs := func(ctx context.Context, entry *process) error { return entry.runSteps(ctx, 0, 1) }
	depart := func(ctx context.Context, entry *process) error {
		return entry.runSteps(ctx, 1, len(entry.role.Steps()))
	}
	stopAgent := func(ctx context.Context, agent *process) error { return agent.stop(ctx) }
	return errors.CombineErrors(inParallel(ctx, s.entries, answerJobs),
		errors.CombineErrors(inParallel(ctx, s.agents, stopAgent), inParallel(ctx, s.entries, depart)))
}

// inParallel calls do for all processes concurrently and returns the first error.
func inParallel(ctx context.Context, roles []*process, do func(context.Context, *process) error) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, role := range roles {
		group.Go(func() error { return do(ctx, role) })
	}
	return group.Wait()
}

// KillEntry terminates an entry immediately.
func (s *Site) KillEntry(i int) { s.entries[i].kill() }

// StopEntry shuts an entry down gracefully and returns when it has ended.
func (s *Site) StopEntry(ctx context.Context, i int) error { return s.entries[i].stop(ctx) }

// StopAgent shuts an agent down gracefully and returns when it has ended.
func (s *Site) StopAgent(ctx context.Context, i int) error { return s.agents[i].stop(ctx) }

// RestartEntry starts a killed entry again, as a new incarnation.
func (s *Site) RestartEntry(i int) { s.entries[i] = s.startEntry(i) }

// KillAgent terminates an agent immediately. Its upstream keeps running.
func (s *Site) KillAgent(i int) { s.agents[i].kill() }

// KillController terminates a controller immediately.
func (s *Site) KillController(i int) { s.controllers[i].kill() }

// Events returns the recorded events of all processes and the number of dropped ones.
func (s *Site) Events() (events []recorder.Event, dropped int) {
	for _, buffer := range s.buffers {
		recorded, lostEvents := buffer.All()
		events = append(events, recorded...)
		dropped += lostEvents
	}
	return events, dropped
}

// Slots returns the number of slots of all workers.
func (s *Site) Slots() int { return s.Workers * slotsPerWorker }

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
		Consensus: replicator.Defaults(), Security: insecureAuthenticator(), Metrics: exporter.NewController(),
		Health: supervisor.NewHealth(server.Conditions()...), Log: s.Log}
	return start(s.ctx, s.group, "controller", abruptRole{controller.Run})
}

// isNew reports whether a controller has no data from an earlier run. Only then may it bootstrap a cluster.
func (s *Site) isNew(name string) bool {
	_, err := os.Stat(filepath.Join(s.DataFolder, name))
	return errors.Is(err, os.ErrNotExist)
}

// insecureAuthenticator accepts every peer, since the site is on loopback.
func insecureAuthenticator() *authenticator.Authenticator {
	security, err := authenticator.New(configurator.SecuritySettings{Insecure: true}, authenticator.Peer{}, time.Now, func(error) {})
	if err != nil {
		panic(err) // can't happen: without security there are no certificates to read
	}
	return security
}

func (s *Site) newBuffer() *recorder.Buffer {
	buffer := &recorder.Buffer{Cap: maxEvents, Clock: time.Now}
	s.buffers = append(s.buffers, buffer)
	return buffer
}

func (s *Site) startAgent(i int) *process {
	settings := configurator.Defaults[configurator.AgentSettings]()
	settings.Name, settings.Zone, settings.Rack, settings.Service = fmt.Sprintf("worker-%02d", i+1), s.zone(i/workersPerRack), fmt.Sprintf("rack-%d", i/workersPerRack+1), s.Service
	settings.AgentAddr, settings.AnnounceAddr, settings.Controllers = s.Layout.agent(i), s.Layout.announce(i), s.controllerAddrs()
	agent := &agentrunner.Agent{Settings: settings, Security: insecureAuthenticator(), Events: s.newBuffer(), Log: s.Log,
		Metrics: exporter.NewAgent(), Health: supervisor.NewHealth(agentrunner.Conditions()...)}
	return start(s.ctx, s.group, "agent", agent)
}

func (s *Site) startUpstream(i int) *process {
	upstream := &emulator.Upstream{Worker: fmt.Sprintf("worker-%02d", i+1), Addr: s.Layout.upstream(i), AgentAddr: s.Layout.announce(i),
		Slots: slotsPerWorker, Starts: s.Starts}
	return start(s.ctx, s.group, "upstream", abruptRole{upstream.Run})
}

func (s *Site) startEntry(i int) *process {
	settings := configurator.Defaults[configurator.EntrySettings]()
	settings.Name, settings.Zone, settings.Rack = fmt.Sprintf("entry-%d", i+1), s.zone(i), fmt.Sprintf("entry-%d", i+1)
	settings.HTTPAddr, settings.PeerAddr, settings.Controllers = s.Layout.Entry(i), s.Layout.entryPeer(i), s.controllerAddrs()
	entry := &entryrunner.Entry{Settings: settings, Security: insecureAuthenticator(), Events: s.newBuffer(), Log: s.Log,
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

// configure proposes the profiles and teams to the controllers, as an operator would, and waits for the decision.
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
	proposer.Propose(s.initialChange())
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
	_ = group.Wait() // the error is that of the cancelled context
	if cause := context.Cause(s.ctx); cause != nil {
		return errors.Wrap(cause, "deployer: a role ended before the initial configuration was applied")
	}
	if decision.Verdict != specifier.Applied {
		return errors.Newf("deployer: the controllers did not apply the initial configuration: %s %s", decision.Verdict, decision.Detail)
	}
	return nil
}
