package sequencer

import (
	"time"

	"oleandertally/core/specifier"
)

// grant begins or renews a lease.
func (s *Sequencer) grant(id specifier.Identity, until time.Time) {
	s.leases[id] = until
	s.expirations.Push(lease{until: until, identity: id})
}

// nextLease returns the lease that ends first. It removes renewed and ended leases from the top of the heap, so that a renewal needs
// no search: the control loop asks for the next deadline after every event.
func (s *Sequencer) nextLease() (lease, bool) {
	for {
		next, ok := s.expirations.Peek()
		if !ok {
			return lease{}, false
		}
		if until, held := s.leases[next.identity]; held && until.Equal(next.until) && !s.ending[next.identity] {
			return next, true
		}
		s.expirations.Pop()
	}
}

// due marks the members whose leases have ended as ending, and returns them in the order of the ends.
func (s *Sequencer) due(now time.Time) []specifier.Identity {
	var due []specifier.Identity
	for s.leads {
		next, ok := s.nextLease()
		if !ok || next.until.After(now) {
			break
		}
		s.ending[next.identity] = true
		due = append(due, next.identity)
	}
	return due
}
