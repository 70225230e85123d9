package server

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"oleandertally/core/authenticator"
	"oleandertally/core/configurator"
	"oleandertally/core/dialer"
	"oleandertally/core/encoder"
	"oleandertally/core/exporter"
	"oleandertally/core/operator"
	"oleandertally/core/specifier"
	"oleandertally/core/supervisor"
	"oleandertally/state/replicator"
)

// clusterCount numbers the clusters, so that each has a loopback network of its own.
var clusterCount atomic.Uint32

// cluster runs real controllers on loopback.
type cluster struct {
	t            testing.TB
	folder       string
	consensus    replicator.Settings
	diskLimit    configurator.ByteSize
	peers        []Peer
	running      []*running
	pool         *dialer.Pool
	owner        specifier.Identity
	openFolder   func(path string) (folder, error)
	syncDelay    time.Duration // added to each sync of timeSync
	memberLease  time.Duration
	statsHandler statsSwitch
}

// running is one controller that was started.
type running struct {
	*Controller
	cancel context.CancelFunc
	group  errgroup.Group
}

func newCluster(t testing.TB, size int) *cluster {
	t.Helper()
	c := &cluster{t: t, folder: t.TempDir(), consensus: replicator.Defaults(), pool: &dialer.Pool{Credentials: insecure.NewCredentials()},
		owner: specifier.Identity{Name: "entry-1", Incarnation: 1}, running: make([]*running, size)}
	c.consensus.Heartbeat, c.consensus.Lease, c.consensus.ElectionTimeout = 50*time.Millisecond, 200*time.Millisecond, 300*time.Millisecond
	c.memberLease = time.Minute
	number := clusterCount.Add(1)
	for i := range size {
		addr := netip.AddrFrom4([4]byte{127, byte(os.Getpid()%200 + 20), byte(number), byte(i + 1)})
		c.peers = append(c.peers, Peer{Name: fmt.Sprintf("controller-%d", i+1), Addr: netip.AddrPortFrom(addr, 7000)})
	}
	t.Cleanup(func() {
		for i := range c.running {
			c.kill(i)
		}
		c.pool.Close()
	})
	return c
}

// begin starts every controller and waits until all are voters.
func (c *cluster) begin() *cluster {
	c.t.Helper()
	for i := range c.running {
		c.start(i, i == 0)
	}
	c.waitVoters(len(c.running))
	must.Eq(c.t, specifier.Applied, c.propose(specifier.JoinMember{Member: specifier.Member{Identity: c.owner, Role: specifier.Entry,
		Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "heredia"}}).Verdict)
	return c
}

func (c *cluster) controller(i int, bootstrap bool) *Controller {
	security, err := authenticator.New(configurator.SecuritySettings{Insecure: true}, authenticator.Peer{}, time.Now, func(error) {})
	must.NoError(c.t, err)
	return &Controller{Name: c.peers[i].Name, Zone: "heredia", Addr: c.peers[i].Addr, DataFolder: c.dataFolder(i), Peers: c.peers,
		Bootstrap: bootstrap, MemberLease: c.memberLease, MaxSubmissions: 1_000_000, MaxMessage: encoder.MaxMessage, Consensus: c.consensus,
		Security: security, Metrics: exporter.NewController(), Health: supervisor.NewHealth(Conditions()...), Log: zerolog.Nop(),
		DiskLimit: c.diskLimit, openFolder: c.openFolder, serverOptions: []grpc.ServerOption{grpc.StatsHandler(&c.statsHandler)}}
}

func (c *cluster) dataFolder(i int) string { return filepath.Join(c.folder, c.peers[i].Name) }

func (c *cluster) start(i int, bootstrap bool) {
	c.t.Helper()
	started := &running{Controller: c.controller(i, bootstrap)}
	must.NoError(c.t, started.Open())
	ctx, cancel := context.WithCancel(context.Background())
	started.cancel = cancel
	started.group.Go(func() error { return started.Run(ctx) })
	c.running[i] = started
}

// kill ends a controller without a graceful shutdown and returns the error of its Run.
func (c *cluster) kill(i int) error {
	killed := c.running[i]
	if killed == nil {
		return nil
	}
	c.running[i] = nil
	killed.cancel()
	return killed.group.Wait()
}

// client returns an operator's client that asks every controller.
func (c *cluster) client() *operator.Client {
	client := &operator.Client{Credentials: insecure.NewCredentials(), AttemptTimeout: time.Second, MaxRounds: 1, Clock: time.Now}
	for _, peer := range c.peers {
		client.Controllers = append(client.Controllers, peer.Addr)
	}
	return client
}

func (c *cluster) waitFor(what string, condition func(operator.State) bool) operator.State {
	c.t.Helper()
	var state operator.State
	must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		var err error
		state, err = c.client().Read(context.Background(), 0)
		return err == nil && condition(state)
	}), wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond)), must.Sprint(what))
	return state
}

// waitVoters waits until the cluster has exactly count controllers, all of them voters with every committed entry.
func (c *cluster) waitVoters(count int) operator.State {
	c.t.Helper()
	return c.waitFor("voters with the whole log", func(state operator.State) bool {
		voters := 0
		for _, controller := range state.Controllers {
			if !controller.Learner && controller.SyncedIndex >= state.Controllers[leaderOf(state)].CommitIndex {
				voters++
			}
		}
		return voters == count && len(state.Controllers) == count
	})
}

func leaderOf(state operator.State) int {
	for i, controller := range state.Controllers {
		if controller.Leading {
			return i
		}
	}
	return -1
}

// leader waits for a leader and returns its index in peers.
func (c *cluster) leader() int {
	c.t.Helper()
	state := c.waitFor("a leader", func(state operator.State) bool { return leaderOf(state) >= 0 })
	for i, peer := range c.peers {
		if peer.Name == state.Controllers[leaderOf(state)].Name {
			return i
		}
	}
	return -1
}

// leaderStatus waits for a leader and returns what it says of itself.
func (c *cluster) leaderStatus() operator.ControllerStatus {
	c.t.Helper()
	state := c.waitFor("a leader", func(state operator.State) bool { return leaderOf(state) >= 0 })
	return state.Controllers[leaderOf(state)]
}

func (c *cluster) named(name string) *running {
	for i, peer := range c.peers {
		if peer.Name == name {
			return c.running[i]
		}
	}
	return nil
}

// propose sends a command until a leader decides it.
func (c *cluster) propose(command specifier.Command) specifier.Decision {
	c.t.Helper()
	var decision specifier.Decision
	must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		for i := range c.running {
			var err error
			if decision, err = c.proposeTo(i, command); err == nil && decision.Verdict != specifier.NotLeader {
				return true
			}
		}
		return false
	}), wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond)))
	return decision
}

func (c *cluster) proposeTo(i int, command specifier.Command) (specifier.Decision, error) {
	if c.running[i] == nil {
		return specifier.Decision{}, errors.New("not running")
	}
	conn, err := c.pool.Conn(c.peers[i].Addr)
	if err != nil {
		return specifier.Decision{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	stream, err := encoder.NewRegistryClient(conn).Propose(ctx)
	if err != nil {
		return specifier.Decision{}, err
	}
	if err := stream.Send(&encoder.Proposals{Items: []*encoder.Proposal{{Sequence: 1, Command: encoder.EncodeCommand(command)}}}); err != nil {
		return specifier.Decision{}, err
	}
	verdicts, err := stream.Recv()
	if err != nil {
		return specifier.Decision{}, err
	}
	return encoder.DecodeDecision(verdicts.Items[0].Decision)
}

// accept returns a submission of the cluster's entry; equal numbers give equal keys.
func (c *cluster) accept(number int) specifier.AcceptJob {
	job := specifier.AcceptJob{Owner: c.owner, TaskCount: 1, TimeLeft: time.Minute}
	job.Job[0], job.Job[1], job.Job[2], job.Job[3], job.Digest[0] = 1, byte(number>>16), byte(number>>8), byte(number), 1
	return job
}

func change(request, operator string, from specifier.Revision) specifier.ChangeConfiguration {
	return specifier.ChangeConfiguration{RequestID: request, Operator: operator, From: from,
		Profiles: []specifier.Profile{{Name: "hold-" + operator, Service: "reservas"}}}
}
