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
	maxQueue       = 100
	maxResultBytes = 1 << 20
	// leaseDuration is longer than any session, because scripts remove members explicitly.
	leaseDuration = 24 * time.Hour
)

// Session is a simulated site with its clock. It is made by New.
type Session struct {
	site              Site
	now               time.Time
	timers            container.Heap[timer]
	lastNumber        uint64 // last number given to a timer, waiter or incarnation
	state             *registrar.Registrar
	publishedVersion  uint64
	publishedRevision specifier.Revision
	entries           []*entryNode
	agents            []*agentNode
	eventCounts       map[string]uint64 // by process
	events            []recorder.Event
	log               strings.Builder

	repeatable map[specifier.JobID]bool
}

// New starts every process of a site, at nine o'clock on the simulated clock.
func New(site Site) *Session {
	s := &Session{site: site, now: time.Date(2026, 5, 4, 9, 0, 0, 0, time.UTC), state: registrar.New(maxSubmissions),
		timers: container.Heap[timer]{Less: timer.before}, eventCounts: make(map[string]uint64),
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

// Events returns the events that the processes have recorded.
func (s *Session) Events() []recorder.Event { return s.events }

// Transcript returns the requests and answers of callers and operators, and then the time line.
func (s *Session) Transcript() string {
	var timeline strings.Builder
	_ = merger.WriteText(&timeline, merger.Merge([]merger.Log{{Events: s.events}}), specifier.JobID{}) // writes to memory cannot fail
	return s.log.String() + "\n" + timeline.String()
}

// Advance moves the clock forward and handles the timers and deadlines on the way, in the order of their times.
func (s *Session) Advance(duration time.Duration) {
	for end := s.now.Add(duration); ; {
		next, ok := s.timers.Peek()
		due := s.nextDeadline()
		if !due.IsZero() && !due.After(end) && (!ok || due.Before(next.at)) {
			s.now = latest(s.now, due)
			s.expire()
			continue
		}
		if !ok || next.at.After(end) {
			s.now = end
			return
		}
		s.timers.Pop()
		s.now = next.at
		next.run()
	}
}

// nextDeadline returns the earliest deadline of any process.
func (s *Session) nextDeadline() time.Time {
	var earliest time.Time
	consider := func(next time.Time) {
		if !next.IsZero() && (earliest.IsZero() || next.Before(earliest)) {
			earliest = next
		}
	}
	for _, e := range s.entries {
		if e.alive {
			consider(e.machine.Next())
		}
	}
	for _, a := range s.agents {
		if a.alive {
			consider(a.machine.Next())
		}
	}
	return earliest
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

func (s *Session) nextNumber() uint64 { s.lastNumber++; return s.lastNumber }

func (s *Session) after(delay time.Duration, run func()) {
	s.timers.Push(timer{at: s.now.Add(delay), sequence: s.nextNumber(), run: run})
}

// apply commits a command. If it changes the membership or the configuration, the processes are updated a hop later.
func (s *Session) apply(command specifier.Command) specifier.Decision {
	decision := s.state.Apply(s.state.Index()+1, specifier.Batch{Commands: []specifier.Command{command}})[0]
	if s.publishedVersion != s.state.MemberVersion() || s.publishedRevision != s.state.Configuration().Revision {
		s.publishedVersion, s.publishedRevision = s.state.MemberVersion(), s.state.Configuration().Revision
		s.after(s.site.Hop, s.publish)
	}
	return decision
}

func (s *Session) recordEvent(id specifier.Identity, event recorder.Event) {
	process := id.String()
	s.eventCounts[process]++
	event.At, event.Process, event.Sequence = s.now, process, s.eventCounts[process]
	s.events = append(s.events, event)
}

func (s *Session) logf(format string, args ...any) {
	fmt.Fprintf(&s.log, "%s  %s\n", s.now.Format("15:04:05.000"), fmt.Sprintf(format, args...))
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
