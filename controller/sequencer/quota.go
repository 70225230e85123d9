package sequencer

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/limiter"
)

// shares grants an entry its share of each service's slots, for the duration of its lease. The shares that
// one leader grants never exceed the slots. For the duration of one lease after a change of leader, the former leader's
// shares are still in force, so that up to twice the slots may be granted.
func (s *Sequencer) shares(now time.Time, sess *session) []specifier.ServiceShare {
	var granted []specifier.ServiceShare
	for _, need := range sess.needs {
		lessor := s.lessor(need.Service)
		wanted := make(map[string]float64, len(need.Teams))
		for _, team := range need.Teams {
			wanted[team.Team] = team.Slots
		}
		lease := lessor.Renew(now, sess.member.Name, wanted)
		share := specifier.ServiceShare{Service: need.Service, Contended: lease.Contended}
		for _, team := range slices.Sorted(maps.Keys(lease.Slots)) {
			share.Teams = append(share.Teams, specifier.TeamSlots{Team: team, Slots: lease.Slots[team]})
		}
		granted = append(granted, share)
	}
	return granted
}

// lessor returns the lessor of a service's slots, updated to the present slots and teams.
func (s *Sequencer) lessor(service string) *limiter.Lessor[string] {
	if s.lessors[service] == nil {
		s.lessors[service] = &limiter.Lessor[string]{LeaseDuration: s.Lease}
	}
	lessor := s.lessors[service]
	lessor.Slots = 0
	for _, member := range s.Registrar.Members() {
		if member.Role == specifier.Agent && member.Service == service && member.State == specifier.Up {
			lessor.Slots += float64(member.Slots)
		}
	}
	lessor.SetTeams(s.Registrar.Configuration().Teams)
	return lessor
}
