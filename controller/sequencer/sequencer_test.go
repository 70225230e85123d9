package sequencer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/controller/sequencer"
	"oleandertally/core/specifier"
	"oleandertally/state/registrar"
)

const lease = 3 * time.Second

// fixture is a sequencer with a log that commits when the test asks for it.
type fixture struct {
	t         *testing.T
	now       time.Time
	index     uint64
	machine   *sequencer.Sequencer
	submitted []sequencer.Submit
	decided   []sequencer.Decide
	pushed    map[sequencer.Stream][]specifier.Update
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, now: time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC), pushed: make(map[sequencer.Stream][]specifier.Update)}
	f.machine = sequencer.New(registrar.New(1000))
	f.machine.Lease, f.machine.Leading = lease, func(time.Time) bool { return true }
	f.machine.Size = func(specifier.Command) (int, error) { return 100, nil }
	f.machine.MaxBatch, f.machine.MaxBytes, f.machine.MaxSubmissions = 4096, 1<<20, 1000
	f.step(sequencer.BecameLeader{})
	return f
}

func (f *fixture) step(event sequencer.Event) { f.take(f.machine.Step(f.now, event)) }

func (f *fixture) take(actions []sequencer.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case sequencer.Submit:
			f.submitted = append(f.submitted, action)
		case sequencer.Decide:
			f.decided = append(f.decided, action)
		case sequencer.Push:
			f.pushed[action.Stream] = append(f.pushed[action.Stream], action.Update)
		}
	}
}

// commit logs and commits everything that was submitted.
func (f *fixture) commit() {
	for len(f.submitted) > 0 {
		next := f.submitted[0]
		f.submitted = f.submitted[1:]
		f.index++
		f.step(sequencer.Logged{Ticket: next.Ticket, Index: f.index, Term: 1})
		f.step(sequencer.Committed{Index: f.index, Term: 1, Batch: next.Batch})
	}
}

func (f *fixture) join(stream sequencer.Stream, member specifier.Member) {
	f.step(sequencer.HeartbeatReceived{Stream: stream, Heartbeat: specifier.Heartbeat{Member: &member}})
	f.commit()
}

// last returns the newest update of a stream.
func (f *fixture) last(stream sequencer.Stream) specifier.Update {
	f.t.Helper()
	must.SliceNotEmpty(f.t, f.pushed[stream])
	return f.pushed[stream][len(f.pushed[stream])-1]
}

func member(role specifier.Role, name string) specifier.Member {
	m := specifier.Member{Identity: specifier.Identity{Name: name, Incarnation: 1}, Role: role, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "alajuela"}
	if role == specifier.Agent {
		m.Service, m.Slots = "reservas", 8
	}
	return m
}

func accept(i int, owner string) specifier.AcceptJob {
	return specifier.AcceptJob{Job: specifier.NewJobID("t", fmt.Sprint(i)), Owner: specifier.Identity{Name: owner, Incarnation: 1}, TaskCount: 1, TimeLeft: time.Second}
}

// mustState checks the recorded state of a member.
func mustState(t *testing.T, f *fixture, name string, want specifier.MemberState) {
	t.Helper()
	known, _ := f.machine.Registrar.Member(name)
	must.Eq(t, want, known.State)
}

// Guards against a member that stays up after its lease has ended, or that is declared down earlier.
func TestLease(t *testing.T) {
	t.Run("ends without a renewal", func(t *testing.T) {
		f := newFixture(t)
		f.join(1, member(specifier.Agent, "worker"))
		must.Eq(t, lease, f.last(1).Lease)
		must.Eq(t, f.now.Add(lease), f.machine.Next())
		f.now = f.now.Add(lease)
		f.take(f.machine.Expire(f.now))
		f.commit()
		mustState(t, f, "worker", specifier.Down)
		f.step(sequencer.HeartbeatReceived{Stream: 1})
		must.True(t, f.last(1).Expelled)
	})
	t.Run("a renewal extends it", func(t *testing.T) {
		f := newFixture(t)
		f.join(1, member(specifier.Agent, "worker"))
		f.now = f.now.Add(lease - time.Millisecond)
		f.step(sequencer.HeartbeatReceived{Stream: 1})
		f.now = f.now.Add(time.Millisecond)
		f.take(f.machine.Expire(f.now))
		must.SliceEmpty(t, f.submitted)
		mustState(t, f, "worker", specifier.Up)
	})
	t.Run("a new leader grants a full one", func(t *testing.T) {
		f := newFixture(t)
		f.join(1, member(specifier.Agent, "worker"))
		f.now = f.now.Add(lease - time.Millisecond)
		f.step(sequencer.BecameFollower{})
		must.True(t, f.machine.Next().IsZero())
		f.step(sequencer.BecameLeader{})
		must.Eq(t, f.now.Add(lease), f.machine.Next())
	})
}

// Guards against one log entry, and so one disk sync, for each command under load.
func TestCommandsShareABatch(t *testing.T) {
	f := newFixture(t)
	for i := range 1000 {
		f.step(sequencer.Proposed{Stream: 1, Sequence: uint64(i + 1), Command: accept(i, "entry")})
	}
	must.Len(t, 64, f.submitted) // maxInFlight; the disk shares its syncs among them
	f.commit()
	must.Len(t, 1000, f.decided)
	must.Eq(t, 65, f.index) // one more for all commands that arrived meanwhile
}

// Guards against a command that gets no reply when the leadership is lost, and against a second reply when another leader's entry is
// committed at the same index.
func TestLostLeadership(t *testing.T) {
	f := newFixture(t)
	for i := range 10 {
		f.step(sequencer.Proposed{Stream: 1, Sequence: uint64(i + 1), Command: accept(i, "entry")})
	}
	f.step(sequencer.Logged{Ticket: f.submitted[0].Ticket, Index: 1, Term: 1})
	leader := netip.MustParseAddrPort("127.0.0.2:7000")
	f.step(sequencer.BecameFollower{Leader: leader})
	must.Len(t, 10, f.decided)
	for _, decide := range f.decided {
		must.Eq(t, specifier.Decision{Verdict: specifier.NotLeader, Leader: leader}, decide.Decision)
	}
	f.step(sequencer.Committed{Index: 1, Term: 2})
	must.Len(t, 10, f.decided)
}

// Guards against sending the whole membership on every change, and against a missed change.
func TestUpdatesCarryChanges(t *testing.T) {
	f := newFixture(t)
	f.join(1, member(specifier.Entry, "entry"))
	must.True(t, f.last(1).MembersComplete)
	for i := range 20 {
		f.join(sequencer.Stream(10+i), member(specifier.Agent, fmt.Sprintf("worker-%02d", i)))
		must.Len(t, 1, f.last(1).Members)
	}
	agent := f.pushed[10]
	f.join(50, member(specifier.Agent, "worker-99"))
	must.Len(t, len(agent), f.pushed[10]) // agents get only their own record
	f.step(sequencer.Proposed{Stream: 2, Sequence: 1, Command: specifier.DrainMember{Name: "worker-00", Draining: true}})
	f.commit()
	must.Eq(t, specifier.Draining, f.last(10).Members[0].State)
	must.Eq(t, specifier.Draining, f.last(1).Members[0].State)
	must.Eq(t, f.machine.Registrar.MemberVersion(), f.last(1).MemberVersion)
}

// Guards against a configuration that reaches a member only with its next renewal.
func TestConfigurationIsPushed(t *testing.T) {
	f := newFixture(t)
	f.join(1, member(specifier.Entry, "entry"))
	f.join(2, member(specifier.Agent, "worker"))
	f.step(sequencer.Proposed{Stream: 3, Sequence: 1, Command: specifier.ChangeConfiguration{RequestID: "r", Operator: "o",
		Profiles: []specifier.Profile{{Name: "hold", Service: "reservas"}}}})
	f.commit()
	for _, stream := range []sequencer.Stream{1, 2} {
		must.NotNil(t, f.last(stream).Configuration)
		must.Eq(t, 1, f.last(stream).Configuration.Revision)
	}
}

// Guards against entries whose shares together exceed the slots, and against slots that are not divided by the teams' shares.
func TestSharesStayWithinTheSlots(t *testing.T) {
	f := newFixture(t)
	f.join(1, member(specifier.Agent, "worker"))
	f.step(sequencer.Proposed{Stream: 9, Sequence: 1, Command: specifier.ChangeConfiguration{RequestID: "r", Operator: "o",
		Profiles: []specifier.Profile{{Name: "hold", Service: "reservas"}}, Teams: []specifier.Team{{Name: "a", Share: 1}, {Name: "b", Share: 3}}}})
	f.commit()
	needs := []specifier.ServiceShare{{Service: "reservas", Teams: []specifier.TeamSlots{{Team: "a", Slots: 50}, {Team: "b", Slots: 50}}}}
	for stream := sequencer.Stream(2); stream <= 4; stream++ {
		f.join(stream, member(specifier.Entry, fmt.Sprintf("entry-%d", stream)))
	}
	for range 5 {
		total, first, second := 0.0, 0.0, 0.0
		for stream := sequencer.Stream(2); stream <= 4; stream++ {
			f.step(sequencer.HeartbeatReceived{Stream: stream, Heartbeat: specifier.Heartbeat{Needs: needs}})
			must.True(t, len(f.last(stream).Shares) == 1)
			teams := f.last(stream).Shares[0].Teams
			first, second = first+teams[0].Slots, second+teams[1].Slots
			total += teams[0].Slots + teams[1].Slots
		}
		must.LessEq(t, 8.001, total)
		must.Between(t, 2.9, second/first, 3.1)
		f.now = f.now.Add(time.Second)
	}
}
