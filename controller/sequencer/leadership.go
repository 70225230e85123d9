package sequencer

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/state/registrar"
)

func (s *Sequencer) led(now time.Time) {
	s.note(recorder.LeaderElected, "", "")
	s.leads = true
	s.advanced = now
	clear(s.leases)
	clear(s.ending)
	clear(s.lessors)
	s.expiring.Filter(func(lease) bool { return false })
	// The former leader's grants are not known here, so every member gets a full lease.
	for _, member := range s.Registrar.Members() {
		if member.State != specifier.Down {
			s.grant(member.Identity, now.Add(s.Lease))
		}
	}
}

// followed answers everything that waits: its outcome is unknown or it had none, and the
// sender asks the new leader, since every command may be repeated.
func (s *Sequencer) followed(e BecameFollower) {
	if s.leads {
		s.note(recorder.LeaderLost, leaderText(e.Leader), "")
	}
	s.leads = false
	s.leader = e.Leader
	for _, ticket := range slices.Sorted(maps.Keys(s.submitted)) {
		s.rejected(Rejected{Ticket: ticket, Verdict: specifier.NotLeader})
	}
	for _, index := range slices.Sorted(maps.Keys(s.logged)) {
		for _, request := range s.logged[index].requests {
			s.refuse(request, specifier.NotLeader)
		}
	}
	clear(s.logged)
	for _, request := range s.waiting {
		s.refuse(request, specifier.NotLeader)
	}
	s.waiting = nil
	for _, stream := range slices.Sorted(maps.Keys(s.attending)) {
		s.out = append(s.out, Push{Stream: stream, Update: specifier.Update{NotLeader: true, Leader: e.Leader}})
	}
	clear(s.attending)
}

// Restore replaces the state by one from a snapshot.
func (s *Sequencer) Restore(state *registrar.Registrar) {
	s.Registrar = state
	s.changes = nil
	s.complete = state.MemberVersion()
}
