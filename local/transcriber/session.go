package transcriber

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"oleandertally/core/container"
	"oleandertally/core/merger"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/state/registrar"
)

const (
	maxSubmissions = 1000
	queueBound     = 100
	heldBytes      = 1 << 20
	// leased outlasts every session: the script ends members by name instead.
	leased = 24 * time.Hour
)

// Session is a site on a held clock. It is made by New.
type Session struct {
	site    Site
	now     time.Time
	moments container.Heap[moment]
	last    uint64 // of moments, waiters, incarnations, links and log indexes
	state   *registrar.Registrar
	version uint64
	seen    specifier.Revision
	entries []*entryNode
	agents  []*agentNode
	counts  map[string]uint64
	events  []recorder.Event
	text    strings.Builder

	repeatable map[specifier.JobID]bool
}

// New starts every process of a site at nine o'clock.
func New(site Site) *Session {
	s := &Session{site: site, now: time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC), state: registrar.New(maxSubmissions),
		moments: container.Heap[moment]{Less: moment.before}, counts: make(map[string]uint64),
		repeatable: make(map[specifier.JobID]bool)}
	s.apply(specifier.ChangeConfiguration{RequestID: "first", Operator: "setup", Profiles: site.Profiles})
	for i, zone := range site.Zones {
		s.entries = append(s.entries, &entryNode{id: specifier.Identity{Name: fmt.Sprintf("entry-%d", i+1)}, zone: zone})
		s.startEntry(s.entries[i])
	}
	for i := range site.Workers {
		s.agents = append(s.agents, &agentNode{id: specifier.Identity{Name: fmt.Sprintf("worker-%d", i+1)}, zone: site.Zones[i%len(site.Zones)]})
		s.startAgent(s.agents[i])
	}
	s.Advance(100 * time.Millisecond)
	return s
}

// Events returns what every process recorded.
func (s *Session) Events() []recorder.Event { return s.events }

// Transcript returns what callers and operators did and saw, and the time line.
func (s *Session) Transcript() string {
	var timeline strings.Builder
	_ = merger.WriteText(&timeline, merger.Merge([]merger.Log{{Events: s.events}}), specifier.JobID{}) // writes to memory, cannot fail
	return s.text.String() + "\n" + timeline.String()
}

// Advance moves the clock and handles what happens meanwhile, one moment after the other.
func (s *Session) Advance(span time.Duration) {
	for end := s.now.Add(span); ; {
		next, ok := s.moments.Peek()
		due := s.due()
		if !due.IsZero() && !due.After(end) && (!ok || due.Before(next.at)) {
			s.now = latest(s.now, due)
			s.expire()
			continue
		}
		if !ok || next.at.After(end) {
			s.now = end
			return
		}
		s.moments.Pop()
		s.now = next.at
		next.do()
	}
}

// due returns the earliest deadline of any process.
func (s *Session) due() time.Time {
	var due time.Time
	sooner := func(next time.Time) {
		if !next.IsZero() && (due.IsZero() || next.Before(due)) {
			due = next
		}
	}
	for _, e := range s.entries {
		if e.alive {
			sooner(e.machine.Next())
		}
	}
	for _, a := range s.agents {
		if a.alive {
			sooner(a.machine.Next())
		}
	}
	return due
}

func (s *Session) expire() {
	for _, e := range s.entries {
		if next := e.machine.Next(); e.alive && !next.IsZero() && !next.After(s.now) {
			s.performEntry(e, e.machine.Expire(s.now))
		}
	}
	for _, a := range s.agents {
		if next := a.machine.Next(); a.alive && !next.IsZero() && !next.After(s.now) {
			s.performAgent(a, a.machine.Expire(s.now))
		}
	}
}

func (s *Session) next() uint64 { s.last++; return s.last }

func (s *Session) after(span time.Duration, do func()) {
	s.moments.Push(moment{at: s.now.Add(span), number: s.next(), do: do})
}

// apply commits a command and pushes what changed to the entries and agents.
func (s *Session) apply(command specifier.Command) specifier.Decision {
	decision := s.state.Apply(s.state.Index()+1, specifier.Batch{Commands: []specifier.Command{command}})[0]
	if s.version != s.state.MemberVersion() || s.seen != s.state.Configuration().Revision {
		s.version, s.seen = s.state.MemberVersion(), s.state.Configuration().Revision
		s.after(s.site.Hop, s.publish)
	}
	return decision
}

func (s *Session) record(id specifier.Identity, event recorder.Event) {
	process := id.String()
	s.counts[process]++
	event.At, event.Process, event.Sequence = s.now, process, s.counts[process]
	s.events = append(s.events, event)
}

func (s *Session) say(format string, args ...any) {
	fmt.Fprintf(&s.text, "%s  %s\n", s.now.Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (s *Session) addr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 7000)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
