package sequencer

import (
	"maps"
	"slices"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/limiter"
)

// shares grants an entry its part of each service's slots, for as long as its lease. The grants of the
// present leader never exceed the slots; for one lease after a change of the leader the grants of
// the former one count too, so that up to twice the slots may be promised.
func (s *Sequencer) shares(now time.Time, who *attendant) []specifier.ServiceShare {
	var granted []specifier.ServiceShare
	for _, need := range who.needs {
		lessor := s.lessor(need.Service)
		wanted := make(map[string]float64, len(need.Teams))
		for _, team := range need.Teams {
			wanted[team.Team] = team.Slots
		}
		lease := lessor.Renew(now, who.member.Name, wanted)
		share := specifier.ServiceShare{Service: need.Service, Contended: lease.Contended}
		for _, team := range slices.Sorted(maps.Keys(lease.Slots)) {
			share.Teams = append(share.Teams, specifier.TeamSlots{Team: team, Slots: lease.Slots[team]})
		}
		granted = append(granted, share)
	}
	return granted
}

// lessor returns the division of a service's slots, with the slots and the teams of now.
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
