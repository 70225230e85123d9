package sequencer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/specifier"
	"oleandertally/state/registrar"
)

var noon = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)

// newLeader returns a leader with members whose leases begin at noon.
func newLeader(members int) *Sequencer {
	state := registrar.New(1000)
	var commands []specifier.Command
	for i := range members {
		commands = append(commands, specifier.JoinMember{Member: specifier.Member{Identity: member(i), Role: specifier.Agent}})
	}
	state.Apply(1, specifier.Batch{Commands: commands})
	s := New(state)
	s.Lease, s.Leading, s.MaxBatch, s.MaxBytes = 3*time.Second, func(time.Time) bool { return true }, 100, 1<<20
	s.Size = func(specifier.Command) (int, error) { return 1, nil }
	s.Step(noon, BecameLeader{})
	return s
}

func member(i int) specifier.Identity {
	return specifier.Identity{Name: fmt.Sprintf("worker-%d", i), Incarnation: 1}
}

// ended returns the names of the members that the actions propose to end.
func ended(actions []Action) []string {
	var names []string
	for _, action := range actions {
		if submit, ok := action.(Submit); ok {
			for _, command := range submit.Batch.Commands {
				names = append(names, command.(specifier.EndMember).Identity.Name)
			}
		}
	}
	return names
}

// Guards against a member that is declared down although it renewed its lease, and against one that is never declared down
// because the log rejected its end.
func TestLeases(t *testing.T) {
	t.Run("renewed", func(t *testing.T) {
		s := newLeader(3)
		s.grant(member(1), noon.Add(4*time.Second))
		must.Eq(t, noon.Add(3*time.Second), s.Next())
		must.Eq(t, []string{"worker-0", "worker-2"}, ended(s.Expire(noon.Add(3*time.Second))))
		must.Eq(t, noon.Add(4*time.Second), s.Next())
		must.Eq(t, []string{"worker-1"}, ended(s.Expire(noon.Add(5*time.Second))))
		must.True(t, s.Next().IsZero())
	})
	t.Run("refused by the log", func(t *testing.T) {
		s := newLeader(1)
		must.Eq(t, []string{"worker-0"}, ended(s.Expire(noon.Add(3*time.Second))))
		s.Step(noon.Add(3*time.Second), Rejected{Ticket: 1, Verdict: specifier.Full})
		must.Eq(t, []string{"worker-0"}, ended(s.Expire(s.Next())))
	})
	t.Run("not leading", func(t *testing.T) {
		s := newLeader(1)
		s.Step(noon, BecameFollower{})
		must.True(t, s.Next().IsZero())
		must.SliceEmpty(t, s.Expire(noon.Add(time.Minute)))
	})
}

// Guards against an advance of the replicated clock that no replica can decode, and against a batch that is larger than a log entry.
func TestBatchBounds(t *testing.T) {
	propose := func(s *Sequencer, now time.Time, sequence uint64) []Action {
		return s.Step(now, Proposed{Stream: 1, Sequence: sequence, Command: specifier.DrainMember{Name: "worker-0"}})
	}
	t.Run("advance", func(t *testing.T) {
		s := newLeader(0)
		var total time.Duration
		for i := range uint64(3) {
			batch := propose(s, noon.Add(30*time.Hour), i+1)[0].(Submit).Batch
			must.LessEq(t, specifier.MaxAdvance, batch.Advance)
			total += batch.Advance
		}
		must.Eq(t, 30*time.Hour, total)
	})
	t.Run("bytes", func(t *testing.T) {
		s := newLeader(0)
		s.MaxBytes, s.Size = 10, func(specifier.Command) (int, error) { return 6, nil }
		for i := range uint64(maxInFlight) {
			propose(s, noon, i+1)
		}
		must.SliceEmpty(t, propose(s, noon, 100))
		must.SliceEmpty(t, propose(s, noon, 101))
		actions := s.Step(noon, Rejected{Ticket: 1, Verdict: specifier.Full})
		must.Len(t, 1, actions[len(actions)-1].(Submit).Batch.Commands)
	})
	t.Run("too large", func(t *testing.T) {
		s := newLeader(0)
		s.MaxBytes, s.Size = 10, func(specifier.Command) (int, error) { return 11, nil }
		must.Eq(t, specifier.Rejected, propose(s, noon, 1)[0].(Decide).Decision.Verdict)
	})
}
