package sequencer

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/state/registrar"
)

func (s *Sequencer) becomeLeader(now time.Time) {
	s.record(recorder.LeaderElected, "", "")
	s.leads = true
	s.clockAdvancedAt = now
	clear(s.leases)
	clear(s.ending)
	clear(s.lessors)
	s.expirations.Filter(func(lease) bool { return false })
	// The former leader's grants are not known here, so every member gets a full lease.
	for _, member := range s.Registrar.Members() {
		if member.State != specifier.Down {
			s.grant(member.Identity, now.Add(s.Lease))
		}
	}
}

// becomeFollower answers all pending requests with NotLeader and ends the sessions. A request's outcome may be unknown, but every
// command may be repeated, so its sender repeats it to the new leader.
func (s *Sequencer) becomeFollower(e BecameFollower) {
	if s.leads {
		s.record(recorder.LeaderLost, leaderText(e.Leader), "")
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
	for _, stream := range slices.Sorted(maps.Keys(s.sessions)) {
		s.actions = append(s.actions, Push{Stream: stream, Update: specifier.Update{NotLeader: true, Leader: e.Leader}})
	}
	clear(s.sessions)
}

// Restore replaces the replicated state with one from a snapshot.
func (s *Sequencer) Restore(state *registrar.Registrar) {
	s.Registrar = state
	s.changes = nil
	s.changesSince = state.MemberVersion()
}
