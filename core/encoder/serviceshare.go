package encoder

import (
	"math"

	"oleandertally/core/specifier"
)

// maxServices is the largest number of services in one message.
const maxServices = 1024

func encodeShares(shares []specifier.ServiceShare) []*ServiceShare {
	var list []*ServiceShare
	for _, share := range shares {
		m := &ServiceShare{Service: share.Service, Contended: share.Contended}
		for _, team := range share.Teams {
			m.Teams = append(m.Teams, &TeamSlots{Team: team.Team, Slots: team.Slots})
		}
		list = append(list, m)
	}
	return list
}

func (c *checker) shares(path string, list []*ServiceShare) []specifier.ServiceShare {
	if !c.length(path, len(list), maxServices) {
		return nil
	}
	var shares []specifier.ServiceShare
	for i, m := range list {
		at := indexed(path, i)
		share := specifier.ServiceShare{Service: c.name(at+".Service", m.GetService()), Contended: m.GetContended()}
		if c.length(at+".Teams", len(m.GetTeams()), specifier.MaxTeams) {
			for k, team := range m.GetTeams() {
				slots := team.GetSlots()
				if math.IsNaN(slots) || slots < 0 || slots > specifier.MaxMembers*specifier.MaxSlots {
					c.problems.Add(indexed(at+".Teams", k)+".Slots", "is %v, expected 0 to %d", slots, specifier.MaxMembers*specifier.MaxSlots)
					slots = 0
				}
				share.Teams = append(share.Teams, specifier.TeamSlots{Team: c.name(indexed(at+".Teams", k)+".Team", team.GetTeam()), Slots: slots})
			}
		}
		shares = append(shares, share)
	}
	return shares
}
