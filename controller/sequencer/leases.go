package sequencer

import (
	"time"

	"oleandertally/core/specifier"
)

// grant begins or renews a lease.
func (s *Sequencer) grant(id specifier.Identity, until time.Time) {
	s.leases[id] = until
	s.expiring.Push(lease{until: until, identity: id})
}

// nextLease returns the lease that ends first. Renewed and ended ones are dropped here, so that a renewal
// costs no search: the control loop asks for the next deadline after every event.
func (s *Sequencer) nextLease() (lease, bool) {
	for {
		next, ok := s.expiring.Peek()
		if !ok {
			return lease{}, false
		}
		if until, held := s.leases[next.identity]; held && until.Equal(next.until) && !s.ending[next.identity] {
			return next, true
		}
		s.expiring.Pop()
	}
}

// due returns the members whose leases are over, in the order of their ends.
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
