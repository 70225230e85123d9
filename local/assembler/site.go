package assembler

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"

	agentrunner "oleandertally/agent/runner"
	"oleandertally/controller/server"
	"oleandertally/core/dialer"
	"oleandertally/core/mailer"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
	"oleandertally/entry/linker"
	entryrunner "oleandertally/entry/runner"
	"oleandertally/local/imitator"
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
	Starts      *imitator.StartLog
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

// KillEntry ends an entry at once.
func (s *Site) KillEntry(i int) { s.entries[i].kill() }

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
	controller := &server.Controller{Name: name, Addr: s.Layout.Controller(i), DataFolder: filepath.Join(s.DataFolder, name), Peers: s.peers(),
		Bootstrap: i == 0, MemberLease: s.MemberLease, MaxSubmissions: maxSubmissions, Consensus: replicator.Defaults(),
		Credentials: insecure.NewCredentials(), Log: s.Log}
	return start(s.ctx, s.group, "controller", controller.Run)
}

func (s *Site) buffer(name string) *recorder.Buffer {
	buffer := &recorder.Buffer{Process: name, Cap: eventsKept, Clock: time.Now}
	s.buffers = append(s.buffers, buffer)
	return buffer
}

func (s *Site) startAgent(i int) *process {
	name := fmt.Sprintf("worker-%02d", i+1)
	agent := &agentrunner.Agent{Name: name, Zone: s.zone(i / perRack), Rack: fmt.Sprintf("rack-%d", i/perRack+1), Service: s.Service,
		Addr: s.Layout.agent(i), AnnounceAddr: s.Layout.announce(i), Credentials: insecure.NewCredentials(), Events: s.buffer(name), Log: s.Log}
	for c := range s.Controllers {
		agent.Controllers = append(agent.Controllers, s.Layout.Controller(c))
	}
	return start(s.ctx, s.group, "agent", agent.Run)
}

func (s *Site) startUpstream(i int) *process {
	upstream := &imitator.Upstream{Worker: fmt.Sprintf("worker-%02d", i+1), Addr: s.Layout.upstream(i), AgentAddr: s.Layout.announce(i),
		Slots: slots, Starts: s.Starts}
	return start(s.ctx, s.group, "upstream", upstream.Run)
}

func (s *Site) startEntry(i int) *process {
	name := fmt.Sprintf("entry-%d", i+1)
	entry := &entryrunner.Entry{Name: name, Zone: s.zone(i), HTTPAddr: s.Layout.Entry(i), PeerAddr: s.Layout.entryPeer(i),
		Credentials: insecure.NewCredentials(), Events: s.buffer(name), Log: s.Log, Stats: s.Stats}
	for c := range s.Controllers {
		entry.Controllers = append(entry.Controllers, s.Layout.Controller(c))
	}
	return start(s.ctx, s.group, "entry", entry.Run)
}

// configure puts the profiles and teams in force, as an operator would.
func (s *Site) configure() error {
	ctx, cancel := context.WithTimeout(s.ctx, 20*time.Second)
	defer cancel()
	pool := &dialer.Pool{Credentials: insecure.NewCredentials()}
	defer pool.Close()
	sink := mailer.NewMailbox[coordinator.Event](1)
	proposer := linker.NewProposer()
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
	if decision.Verdict != specifier.Applied {
		return errors.Newf("assembler: the first configuration was not accepted: %s %s", decision.Verdict, decision.Detail)
	}
	return nil
}
