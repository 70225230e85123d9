package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"oleandertally/core/encoder"
	"oleandertally/core/operator"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

var baseTime = time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)

// fake is a leading controller with a simple model of the replicated state, together with the environment in which the
// tests run tally.
type fake struct {
	t       *testing.T
	addr    netip.AddrPort
	history operator.History
	files   map[string]string
	out     bytes.Buffer
	err     bytes.Buffer
	now     time.Time
	onPause func() // called before each wait

	mutex    sync.Mutex
	state    operator.State
	requests map[string]specifier.Decision
	commands []specifier.Command
	lost     int // how many of the next changes are applied without an answer
	buffer   recorder.Buffer
}

func newFake(t *testing.T) *fake {
	t.Helper()
	f := &fake{t: t, history: operator.History{Cap: 10}, files: make(map[string]string), now: baseTime,
		requests: make(map[string]specifier.Decision)}
	f.buffer = recorder.Buffer{Process: "controller-1/0000000000000001", Cap: 100, Clock: func() time.Time { return baseTime }}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	f.addr = netip.MustParseAddrPort(listener.Addr().String())
	f.state = sampleState()
	f.history.Add(f.state.Configuration)
	server := grpc.NewServer()
	encoder.RegisterOperatorServer(server, &operator.Server{Propose: f.propose, State: f.read, Evacuate: f.evacuate})
	encoder.RegisterTimelineServer(server, &operator.Timeline{Buffer: &f.buffer})
	var group errgroup.Group
	group.Go(func() error {
		// When the test ends before Serve runs, Stop has already been called.
		if err := server.Serve(listener); !errors.Is(err, grpc.ErrServerStopped) {
			return err
		}
		return nil
	})
	t.Cleanup(func() {
		server.Stop()
		must.NoError(t, group.Wait())
	})
	return f
}

// evacuate marks the zone in the state. A zone without a worker of the queues is added.
func (f *fake) evacuate(_ context.Context, order operator.Evacuation) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.state.QueueZones = slices.DeleteFunc(f.state.QueueZones, func(zone operator.QueueZone) bool { return zone.Name == order.Zone })
	f.state.QueueZones = append(f.state.QueueZones, operator.QueueZone{Name: order.Zone, Workers: 3, Evacuated: !order.Restore})
	return nil
}

func sampleState() operator.State {
	member := func(name string, role specifier.Role, zone string, state specifier.MemberState) specifier.Member {
		slots := 0
		if role == specifier.Agent {
			slots = 8
		}
		return specifier.Member{Identity: specifier.Identity{Name: name, Incarnation: 1}, Role: role, Zone: zone, State: state,
			Addr: netip.MustParseAddrPort("127.0.0.1:1"), Service: "reservas", Slots: slots}
	}
	return operator.State{
		Configuration: specifier.Configuration{Revision: 1,
			Profiles: map[string]specifier.Profile{"holds": {Name: "holds", Service: "reservas", MaxTimeLeft: 2 * time.Second}},
			Teams:    map[string]specifier.Team{"ventas": {Name: "ventas", Share: 2}}},
		Operator: "eva",
		Members: []specifier.Member{member("entry-1", specifier.Entry, "heredia", specifier.Up),
			member("worker-1", specifier.Agent, "heredia", specifier.Up), member("worker-2", specifier.Agent, "heredia", specifier.Down),
			member("worker-3", specifier.Agent, "cartago", specifier.Up)},
		Loads:       []operator.MemberLoad{{Identity: specifier.Identity{Name: "worker-1", Incarnation: 1}, Load: specifier.Load{Slots: 8, Running: 3, Queued: 1}}},
		Controllers: []operator.ControllerStatus{{Name: "controller-1", Leading: true, Zone: "heredia", Term: 4, CommitIndex: 90, AppliedIndex: 90, SyncedIndex: 91, Addr: netip.MustParseAddrPort("127.0.0.1:2")}},
	}
}

func (f *fake) read(_ context.Context, revision specifier.Revision) (operator.State, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	state := f.state
	if revision == 0 {
		return state, nil
	}
	var err error
	state.Configuration, err = f.history.At(revision)
	return state, err
}

func (f *fake) propose(_ context.Context, command specifier.Command) (specifier.Decision, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.commands = append(f.commands, command)
	var decision specifier.Decision
	switch command := command.(type) {
	case specifier.ChangeConfiguration:
		if !bytes.Contains(f.err.Bytes(), []byte("request "+command.RequestID)) {
			f.t.Errorf("request %s was sent before it was printed", command.RequestID)
		}
		decision = f.change(command)
	case specifier.DrainMember:
		decision = f.drain(command)
	}
	if f.lost > 0 {
		f.lost--
		return decision, errors.New("the leader stopped before it answered")
	}
	return decision, nil
}

func (f *fake) change(c specifier.ChangeConfiguration) specifier.Decision {
	if first, ok := f.requests[c.RequestID]; ok {
		return first
	}
	now := f.state.Configuration
	if c.From != now.Revision {
		return specifier.Decision{Verdict: specifier.Conflict, Revision: now.Revision, Operator: f.state.Operator}
	}
	file := changeFile{Profiles: c.Profiles, Teams: c.Teams, RemoveProfiles: c.RemoveProfiles, RemoveTeams: c.RemoveTeams}
	next := file.applyTo(now)
	next.Revision = now.Revision + 1
	f.state.Configuration, f.state.Operator = next, c.Operator
	f.history.Add(next)
	decision := specifier.Decision{Verdict: specifier.Applied, Revision: next.Revision}
	f.requests[c.RequestID] = decision
	return decision
}

func (f *fake) drain(c specifier.DrainMember) specifier.Decision {
	if c.Name == "worker-3" {
		return specifier.Decision{Verdict: specifier.Rejected, Detail: "unknown member worker-3"}
	}
	f.setState(c.Name, map[bool]specifier.MemberState{true: specifier.Draining, false: specifier.Up}[c.Draining])
	return specifier.Decision{Verdict: specifier.Applied}
}

func (f *fake) setState(name string, state specifier.MemberState) {
	members := append([]specifier.Member(nil), f.state.Members...)
	for i := range members {
		if members[i].Name == name {
			members[i].State = state
		}
	}
	f.state.Members = members
}

// tally runs tally with args and returns its exit code.
func (f *fake) tally(args ...string) subcommands.ExitStatus {
	f.out.Reset()
	f.err.Reset()
	ids := 0
	return run(f.t.Context(), &environment{
		stdout: &f.out, stderr: &f.err, clock: func() time.Time { return f.now },
		userName: func() string { return "ana" },
		getenv: func(name string) string {
			return map[string]string{controllersVariable: f.addr.String()}[name]
		},
		readFile: func(name string) ([]byte, error) {
			text, ok := f.files[name]
			if !ok {
				return nil, errors.Newf("%s: no such file", name)
			}
			return []byte(text), nil
		},
		writeFile: func(name string, data []byte) error { f.files[name] = string(data); return nil },
		pause: func(ctx context.Context, d time.Duration) error {
			f.now = f.now.Add(d)
			if f.onPause != nil {
				f.onPause()
			}
			return ctx.Err()
		},
		newID: func() string { ids++; return fmt.Sprintf("id-%d", ids) },
	}, args)
}

// assertTally runs tally with args, and checks its exit code and that its output contains each text.
func (f *fake) assertTally(want subcommands.ExitStatus, args []string, texts ...string) {
	f.t.Helper()
	got := f.tally(args...)
	must.Eq(f.t, want, got, must.Sprintf("stdout: %s\nstderr: %s", f.out.String(), f.err.String()))
	for _, text := range texts {
		must.StrContains(f.t, f.out.String()+f.err.String(), text)
	}
}

func arguments(line ...string) []string { return line }
