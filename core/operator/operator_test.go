package operator

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"oleandertally/core/encoder"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

var baseTime = time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC)

// fakeController is a controller with preset answers.
type fakeController struct {
	state     State
	err       error
	readErrs  []error // results of the first reads; later reads return err
	decision  specifier.Decision
	revisions []specifier.Revision
	commands  []specifier.Command
	buffer    *recorder.Buffer
}

func (f *fakeController) read(_ context.Context, revision specifier.Revision) (State, error) {
	f.revisions = append(f.revisions, revision)
	if len(f.readErrs) > 0 {
		err := f.readErrs[0]
		f.readErrs = f.readErrs[1:]
		return State{}, err
	}
	return f.state, f.err
}

func (f *fakeController) propose(_ context.Context, command specifier.Command) (specifier.Decision, error) {
	f.commands = append(f.commands, command)
	return f.decision, f.err
}

// serve runs f on a loopback address until the test ends.
func serve(t *testing.T, f *fakeController) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := grpc.NewServer()
	encoder.RegisterOperatorServer(server, &Server{Propose: f.propose, State: f.read})
	encoder.RegisterTimelineServer(server, &Timeline{Buffer: f.buffer})
	return run(t, server, listener)
}

func run(t *testing.T, server *grpc.Server, listener net.Listener) netip.AddrPort {
	t.Helper()
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
	return netip.MustParseAddrPort(listener.Addr().String())
}

// closedAddr returns an address that refuses connections.
func closedAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	return netip.MustParseAddrPort(listener.Addr().String())
}

func newClient(controllers ...netip.AddrPort) *Client {
	return &Client{Controllers: controllers, Credentials: insecure.NewCredentials(), AttemptTimeout: time.Minute, MaxRounds: 3, Clock: func() time.Time { return baseTime },
		Pause: func(ctx context.Context, _ time.Duration) error { return ctx.Err() }}
}

func sampleState() State {
	return State{
		Configuration: specifier.Configuration{Revision: 7,
			Profiles: map[string]specifier.Profile{"holds": {Name: "holds", Service: "reservas", MaxTimeLeft: time.Second, LongShare: 0.5}},
			Teams:    map[string]specifier.Team{"ventas": {Name: "ventas", Share: 2}}},
		Operator: "ana",
		Members: []specifier.Member{{Identity: specifier.Identity{Name: "worker-a", Incarnation: 9}, Role: specifier.Agent,
			Addr: netip.MustParseAddrPort("127.0.0.1:9"), Zone: "heredia", Service: "reservas", Slots: 8, State: specifier.Up}},
		Loads: []MemberLoad{{Identity: specifier.Identity{Name: "worker-a", Incarnation: 9}, Load: specifier.Load{Slots: 8, Running: 2}}},
		Controllers: []ControllerStatus{{Name: "controller-1", Addr: netip.MustParseAddrPort("127.0.0.1:8"), Leading: true,
			Term: 3, CommitIndex: 12, AppliedIndex: 11, SinceHeard: time.Millisecond}},
	}
}

func assertState(t *testing.T, client *Client) {
	t.Helper()
	got, err := client.Read(t.Context(), 0)
	must.NoError(t, err)
	must.Eq(t, sampleState(), got)
}

// Guards against a client that gives up although it can reach the leader through redirects, retries or a later round,
// and against an endless loop of redirects.
func TestClientFindsTheLeader(t *testing.T) {
	t.Run("asked first", func(t *testing.T) { assertState(t, newClient(serve(t, &fakeController{state: sampleState()}))) })
	t.Run("named by a follower", func(t *testing.T) {
		leader := serve(t, &fakeController{state: sampleState()})
		assertState(t, newClient(serve(t, &fakeController{err: &NotLeaderError{Leader: leader}})))
	})
	t.Run("after a controller that is down", func(t *testing.T) {
		assertState(t, newClient(closedAddr(t), serve(t, &fakeController{state: sampleState()})))
	})
	t.Run("after an election", func(t *testing.T) {
		assertState(t, newClient(serve(t, &fakeController{state: sampleState(), readErrs: []error{&NotLeaderError{}, &NotLeaderError{}}})))
	})
	t.Run("followers that name each other", func(t *testing.T) {
		first := &fakeController{}
		second := serve(t, &fakeController{err: &NotLeaderError{Leader: closedAddr(t)}})
		first.err = &NotLeaderError{Leader: second}
		_, err := newClient(serve(t, first), second).Read(t.Context(), 0)
		var unreachable *UnreachableError
		must.True(t, errors.As(err, &unreachable))
		must.Len(t, 3, unreachable.Tried)
		must.Len(t, 3, first.revisions)
	})
}

// Guards against a refusal that is retried, or whose cause is lost.
func TestClientReportsRefusals(t *testing.T) {
	t.Run("a revision that is not stored", func(t *testing.T) {
		f := &fakeController{err: ErrRevisionUnavailable}
		_, err := newClient(serve(t, f)).Read(t.Context(), 3)
		must.True(t, errors.Is(err, ErrRevisionUnavailable))
		must.Eq(t, []specifier.Revision{3}, f.revisions)
	})
	t.Run("a command that only members send", func(t *testing.T) {
		f := &fakeController{}
		_, err := newClient(serve(t, f)).Change(t.Context(), "r1", "ana", specifier.EndMember{Identity: specifier.Identity{Name: "x"}})
		must.ErrorContains(t, err, "expected ChangeConfiguration or DrainMember")
		must.SliceEmpty(t, f.commands)
	})
	t.Run("a process that is not a controller", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		addr := run(t, grpc.NewServer(), listener)
		_, err = newClient(addr).Read(t.Context(), 0)
		must.ErrorContains(t, err, "not a controller")
	})
	t.Run("two different request ids", func(t *testing.T) {
		f := &fakeController{}
		_, err := newClient(serve(t, f)).Change(t.Context(), "r1", "ana", specifier.ChangeConfiguration{RequestID: "r2", Operator: "ana"})
		must.ErrorContains(t, err, "RequestId")
		must.SliceEmpty(t, f.commands)
	})
}

// Guards against a change that is lost or altered when a follower redirects the client.
func TestChange(t *testing.T) {
	change := specifier.ChangeConfiguration{RequestID: "r1", Operator: "ana", From: 7, RemoveTeams: []string{"ventas"}}
	conflict := specifier.Decision{Verdict: specifier.Conflict, Operator: "eva", Revision: 8, Detail: "made from 7"}
	leader := &fakeController{decision: conflict}
	follower := &fakeController{decision: specifier.Decision{Verdict: specifier.NotLeader, Leader: serve(t, leader)}}
	decision, err := newClient(serve(t, follower)).Change(t.Context(), "r1", "ana", change)
	must.NoError(t, err)
	must.Eq(t, conflict, decision)
	must.Eq(t, []specifier.Command{change}, leader.commands)
}

// Guards against events that are lost or altered in transit, and against a log without the times that bound the skew.
func TestGather(t *testing.T) {
	buffer := &recorder.Buffer{Process: "entry-a/0000000000000001", Cap: 2, Clock: func() time.Time { return baseTime.Add(time.Hour) }}
	hold := specifier.NewJobID("reservas", "hold-1")
	buffer.Add(recorder.Event{Kind: recorder.JobSubmitted, Job: specifier.NewJobID("ventas", "other")})
	buffer.Add(recorder.Event{Kind: recorder.JobSubmitted, Job: hold})
	buffer.Add(recorder.Event{Kind: recorder.TaskAssigned, Job: hold, Task: "t", Epoch: 2, Other: "worker-a", Detail: "d"})
	addr := serve(t, &fakeController{buffer: buffer})
	log, err := newClient().Gather(t.Context(), addr, recorder.Filter{Job: hold, Worker: "worker-a"})
	must.NoError(t, err)
	must.Eq(t, 1, log.Dropped)
	must.Eq(t, baseTime, log.RequestedAt)
	must.Eq(t, time.Hour, log.ProcessTime.Sub(log.RepliedAt))
	must.Len(t, 1, log.Events)
	want, _ := buffer.All()
	must.True(t, want[1].At.Equal(log.Events[0].At))
	log.Events[0].At = want[1].At
	must.Eq(t, want[1], log.Events[0])
}

// Guards against a client that accepts a reply with invalid fields, or reports only the first of them.
func TestDecodeStateReportsEveryProblem(t *testing.T) {
	reply := EncodeState(sampleState())
	reply.Members[0].Zone = ""
	reply.Loads[0].Load.Running = -1
	reply.Controllers[0].Addr = "nowhere"
	_, err := DecodeState(reply)
	for _, field := range []string{"Members[0]", "Loads[0].Load", "Controllers[0].Addr"} {
		must.ErrorContains(t, err, field)
	}
}

// Guards against a history that returns the configuration of another revision, so that a revert restores a wrong one.
func TestHistory(t *testing.T) {
	history := &History{Cap: 2}
	for _, revision := range []specifier.Revision{1, 2, 2, 3} {
		history.Add(specifier.Configuration{Revision: revision})
	}
	_, err := history.At(1)
	must.True(t, errors.Is(err, ErrRevisionUnavailable))
	for _, revision := range []specifier.Revision{2, 3} {
		configuration, err := history.At(revision)
		must.NoError(t, err)
		must.Eq(t, revision, configuration.Revision)
	}
}
